// An upstream fails part of its requests, another one of the same service turns part of them away. A download
// that meets both ends the gateway's process, and with it all requests in flight.

#include "../standins/standins.h"

#include <random>

using namespace review;

namespace {

constexpr auto payments = 8;
constexpr auto payment_ms = 600;   ///< Work of one payment at its upstream.
constexpr auto downloads = 60;     ///< Sent one after the other while payments are in flight.
constexpr auto failing_share = 0.45; ///< Of the requests at a grey upstream, as the site file's troubles.
constexpr auto most_closed = 3;    ///< RULES, LOST: "more than three times".
constexpr auto in_touch_ms = 4000; ///< Longer than stable-window-s (3).

auto config() -> json {
    const auto rule = [](const char* name, const char* kind, const char* prefix, const char* service) {
        return json{{"name", name},
                    {"kind", kind},
                    {"target-latency-s", 0.4},
                    {"priority", 1},
                    {"match", {{"path-prefix", prefix}}},
                    {"action", {{"service", service}, {"timeout-s", 3.0}, {"max-attempts", 3}}}};
    };
    const auto cluster = [](const char* name) {
        return json{{"name", name},       {"health-path", "/health"}, {"max-conns", 130}, {"protocol", "h1"},
                    {"tls", false},       {"cold-start-s", 3.0},      {"cold-per-s", 13.0}};
    };
    return {{"version", 7},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 67108864},
              {"header-timeout-s", 3},
              {"idle-timeout-s", 15}}},
            {"listeners",
             {{{"host", "shop.example"},
               {"rules",
                {rule("r-packs", "download", "/packs/", "packs"),
                 rule("r-pay", "non_idempotent", "/pay/", "ledger")}}}}},
            {"clusters", {cluster("packs"), cluster("ledger")}}};
}

} // namespace

auto main() -> int {
    const auto trouble = has_trouble();
    auto notes = record{std::string{std::getenv("CASE_RECORD")}};
    notes.line(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    const auto host = std::string{"127.0.0.1"};
    const auto at = [&] { return address{host, free_port(host)}; };
    const auto store_at = at();
    auto platform = store{store_at};

    // Two of the service's upstreams fail a part of their requests: srv_grey, how "errors" and "shed".
    auto grey = std::atomic<bool>{false};
    auto ran = std::atomic<int>{0};
    auto random = std::mt19937{1};
    auto random_mutex = std::mutex{};
    const auto draw = [&] {
        const auto lock = std::lock_guard{random_mutex};
        return std::bernoulli_distribution{failing_share}(random);
    };
    const auto upstream = [&](std::string id, std::string how) {
        return [&, id, how](connection& from) {
            while (const auto request = read_message(from, 60'000)) {
                if (!is_for(*request, id)) {
                    from.write(misdirected(id));
                    continue;
                }
                const auto attempt = request->field(id_field);
                const auto fails = grey && draw();
                if (how == "pay") {
                    notes.line(id + " begins " + attempt);
                    ++ran;
                    sleep_ms(payment_ms);
                } else {
                    sleep_ms(3);
                }
                if (fails && how == "errors") {
                    notes.line(id + " fails " + attempt + " with its own 500");
                    from.write(to_text("HTTP/1.1 500 Internal Server Error", own_fields(*request), "failed"));
                } else if (fails && how == "shed") {
                    notes.line(id + " turns " + attempt + " away, 503 and Teaselcross-Not-Executed");
                    from.write(to_text("HTTP/1.1 503 Service Unavailable",
                                       {{id_field, attempt},
                                        {"Teaselcross-Not-Executed", "1"},
                                        {"Teaselcross-Server-Load", "4,16,4,100"}},
                                       ""));
                } else {
                    from.write(to_text("HTTP/1.1 200 OK", own_fields(*request), "answer to " + attempt));
                }
            }
        };
    };
    const auto errors_at = at();
    const auto shed_at = at();
    const auto ledger_at = at();
    auto first = server{errors_at, upstream("i-errors", "errors")};
    auto second = server{shed_at, upstream("i-shed", "shed")};
    auto third = server{ledger_at, upstream("i-ledger", "pay")};
    platform.put("servers", "i-errors", entry_of("packs", errors_at, "z", 4));
    platform.put("servers", "i-shed", entry_of("packs", shed_at, "z", 4));
    platform.put("servers", "i-ledger", entry_of("ledger", ledger_at, "z", 32));
    platform.put("config", "main", config());

    auto instance = gateway{"edge-1", "z", store_at, work_folder()};
    instance.start();
    if (!instance.wait_until_ready(15'000)) {
        give_up("the instance does not become ready");
    }
    sleep_ms(in_touch_ms);
    notes.line("the instance has been ready and undisturbed for stable-window-s");

    grey = trouble;
    auto closed = std::atomic<int>{0};
    auto answered = std::atomic<int>{0};
    auto clients = std::vector<std::thread>{};
    for (auto index = 0; index < payments; ++index) {
        clients.emplace_back([&, index] {
            const auto link = connect_to(instance.front);
            for (auto turn = 0; link && turn < 3; ++turn) {
                const auto id = "pay-" + std::to_string(index) + "-" + std::to_string(turn);
                const auto end = ask(*link, "POST", "/pay/1", id, 3000, 5000, {}, "amount=1");
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
    sleep_ms(payment_ms + 100); // The second payment of each kept connection is in flight now.
    for (auto index = 0; index < downloads && instance.exit_text().empty(); ++index) {
        const auto link = connect_to(instance.front);
        const auto id = "pack-" + std::to_string(index);
        if (!link) {
            break;
        }
        const auto end = ask(*link, "GET", "/packs/1", id, 3000, 5000);
        notes.line("client: " + id + " " + end.end + " " +
                   (end.end == "answered" ? std::to_string(end.answer.status()) : ""));
        sleep_ms(5);
    }
    for (auto& each : clients) {
        each.join();
    }
    sleep_ms(200);
    const auto exit = instance.exit_text();
    notes.line("payments begun by the sound upstream: " + std::to_string(ran.load()) +
               ", answered: " + std::to_string(answered.load()) +
               ", closed without an answer on kept connections: " + std::to_string(closed.load()));
    notes.line("the instance's process: " + (exit.empty() ? std::string{"runs"} : exit));
    const auto broken = closed > most_closed;
    std::cout << (broken ? "LOST is broken: " : "LOST holds: ") << closed.load()
              << " requests passed on from kept connections to a sound upstream were closed without an answer; "
              << "the process " << (exit.empty() ? std::string{"runs"} : exit) << std::endl;
    instance.end();
    finish(broken ? 1 : 0);
}
