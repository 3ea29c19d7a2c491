// Uploads within max-body-bytes, 1.7 times as many at once as usual. The instance keeps each of them whole in
// memory while its upstream works, exceeds memory-mb and is killed by the platform, with all requests in flight.

#include "../standins/standins.h"

using namespace review;

namespace {

constexpr auto usual_uploads = 3;   ///< At once.
constexpr auto burst_factor = 1.7;  ///< x of burst; the site files have 1.4 to 1.8.
constexpr auto upload_bytes = 60'000'000; ///< max-body-bytes is 67108864.
constexpr auto upload_work_ms = 4000;
constexpr auto payments = 8;
constexpr auto payment_ms = 3000;
constexpr auto memory_mb = 260;    ///< memory-mb of the instances.
constexpr auto most_closed = 3;    ///< RULES, LOST: "more than three times".
constexpr auto in_touch_ms = 4000; ///< Longer than stable-window-s (3).

auto config() -> json {
    const auto rule = [](const char* name, const char* prefix, const char* service) {
        return json{{"name", name},
                    {"kind", "non_idempotent"},
                    {"target-latency-s", 5.0},
                    {"priority", 1},
                    {"match", {{"path-prefix", prefix}}},
                    {"action", {{"service", service}, {"timeout-s", 10.0}, {"max-attempts", 2}}}};
    };
    const auto cluster = [](const char* name) {
        return json{{"name", name}, {"health-path", "/health"}, {"max-conns", 130}, {"protocol", "h1"},
                    {"tls", false}, {"cold-start-s", 3.0},      {"cold-per-s", 13.0}};
    };
    return {{"version", 7},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 67108864},
              {"header-timeout-s", 3},
              {"idle-timeout-s", 15}}},
            {"listeners",
             {{{"host", "shop.example"},
               {"rules", {rule("r-logs", "/logs/", "logs"), rule("r-pay", "/pay/", "ledger")}}}}},
            {"clusters", {cluster("logs"), cluster("ledger")}}};
}

/// Resident memory of a process, in MB.
auto resident_mb(pid_t pid) -> std::int64_t {
    auto file = std::ifstream{"/proc/" + std::to_string(pid) + "/statm"};
    auto total = std::int64_t{0};
    auto resident = std::int64_t{0};
    file >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE) / 1'000'000;
}

} // namespace

auto main() -> int {
    const auto trouble = has_trouble();
    auto notes = record{std::string{std::getenv("CASE_RECORD")}};
    notes.line(trouble ? "with the burst" : "without the burst (TROUBLE=0)");
    const auto host = std::string{"127.0.0.1"};
    const auto at = [&] { return address{host, free_port(host)}; };
    const auto store_at = at();
    auto platform = store{store_at};
    const auto upstream = [&](std::string id, std::int64_t work_ms) {
        return [&notes, id, work_ms](connection& from) {
            while (auto request = read_message(from, 60'000)) {
                if (!is_for(*request, id)) {
                    from.write(misdirected(id));
                    continue;
                }
                const auto attempt = request->field(id_field);
                notes.line(id + " begins " + attempt + " with a body of " +
                           std::to_string(request->body.size()) + " bytes");
                request->body = {};
                if (from.fill(work_ms) || from.ended()) {
                    notes.line(id + ": the connection of " + attempt + " was closed");
                    return;
                }
                from.write(to_text("HTTP/1.1 200 OK", own_fields(*request), "done " + attempt));
            }
        };
    };
    const auto logs_at = at();
    const auto ledger_at = at();
    auto logs = server{logs_at, upstream("i-logs", upload_work_ms)};
    auto ledger = server{ledger_at, upstream("i-ledger", payment_ms)};
    platform.put("servers", "i-logs", entry_of("logs", logs_at, "z", 16));
    platform.put("servers", "i-ledger", entry_of("ledger", ledger_at, "z", 32));
    platform.put("config", "main", config());

    auto instance = gateway{"edge-1", "z", store_at, work_folder()};
    instance.start();
    if (!instance.wait_until_ready(15'000)) {
        give_up("the instance does not become ready");
    }
    // The platform kills a process that exceeds memory-mb.
    auto most_mb = std::atomic<std::int64_t>{0};
    auto killed = std::atomic<bool>{false};
    const auto pid = instance.pid();
    std::thread{[&, pid] {
        while (!killed) {
            const auto used = resident_mb(pid);
            most_mb = std::max(most_mb.load(), used);
            if (used > memory_mb) {
                killed = true;
                notes.line("platform: the process uses " + std::to_string(used) + " MB, more than memory-mb = " +
                           std::to_string(memory_mb) + ", and is killed");
                ::kill(pid, SIGKILL);
            }
            sleep_ms(10);
        }
    }}.detach();
    sleep_ms(in_touch_ms);
    notes.line("the instance has been ready and undisturbed for stable-window-s");

    auto closed = std::atomic<int>{0};
    auto answered = std::atomic<int>{0};
    auto clients = std::vector<std::thread>{};
    for (auto index = 0; index < payments; ++index) {
        clients.emplace_back([&, index] {
            const auto link = connect_to(instance.front);
            for (auto turn = 0; link && turn < 2; ++turn) {
                const auto id = "pay-" + std::to_string(index) + "-" + std::to_string(turn);
                const auto end = ask(*link, "POST", "/pay/1", id, 9000, 12'000, {}, "amount=1");
                notes.line("client: " + id + " " + end.end + " " +
                           (end.end == "answered" ? std::to_string(end.answer.status()) : ""));
                if (end.end != "answered") {
                    closed += turn > 0 ? 1 : 0; // From a kept connection.
                    return;
                }
                ++answered;
            }
        });
    }
    sleep_ms(payment_ms + 500); // The second payment of each kept connection is in flight now.
    const auto uploads = trouble ? static_cast<int>(usual_uploads * burst_factor) : usual_uploads;
    for (auto index = 0; index < uploads; ++index) {
        clients.emplace_back([&, index] {
            const auto link = connect_to(instance.front);
            const auto id = "log-" + std::to_string(index);
            if (!link) {
                return;
            }
            const auto end = ask(*link, "POST", "/logs/1", id, 9000, 12'000, {}, std::string(upload_bytes, 'x'));
            notes.line("client: " + id + " " + end.end + " " +
                       (end.end == "answered" ? std::to_string(end.answer.status()) : ""));
        });
    }
    for (auto& each : clients) {
        each.join();
    }
    notes.line("payments answered: " + std::to_string(answered.load()) +
               ", closed without an answer on kept connections: " + std::to_string(closed.load()) +
               "; most memory: " + std::to_string(most_mb.load()) + " MB");
    const auto broken = closed > most_closed;
    std::cout << (broken ? "LOST is broken: " : "LOST holds: ") << closed.load()
              << " requests passed on from kept connections to a sound upstream were closed without an answer; "
              << uploads << " uploads at once, " << most_mb.load() << " MB" << std::endl;
    instance.end();
    finish(broken ? 1 : 0);
}
