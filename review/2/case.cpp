// One upstream fails part of its requests with its own 500, another one of the same service garbles part of
// its answers: it breaks them off, and sends the one before a second time. Some clients get a success that no
// upstream gave: 200 with an empty body, framed as whole and without a signature.

#include "../standins/standins.h"

#include <random>

using namespace review;

namespace {

constexpr auto clients_count = 24;
constexpr auto failing_share = 0.1;  ///< x of srv_grey goes up to 0.55 in the site files.
constexpr auto garbled_share = 0.03; ///< x of garble "extra late" in the site file.
constexpr auto trouble_ms = 20'000;
constexpr auto in_touch_ms = 4000; ///< Longer than stable-window-s (3).

auto config() -> json {
    return {{"version", 7},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 67108864},
              {"header-timeout-s", 3},
              {"idle-timeout-s", 15}}},
            {"listeners",
             {{{"host", "shop.example"},
               {"rules",
                {{{"name", "r-packs"},
                  {"kind", "download"},
                  {"target-latency-s", 0.3},
                  {"priority", 2},
                  {"match", {{"path-prefix", "/packs/"}}},
                  {"action", {{"service", "packs"}, {"timeout-s", 0.8}, {"max-attempts", 3}}}}}}}}},
            {"clusters",
             {{{"name", "packs"},
               {"health-path", "/health"},
               {"max-conns", 130},
               {"protocol", "h1"},
               {"tls", false},
               {"cold-start-s", 3.0},
               {"cold-per-s", 13.0}}}}};
}

auto body_for(const std::string& id) -> std::string {
    return "pack of " + id + " ............................................................";
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
    auto is_troubled = std::atomic<bool>{false};
    auto mutex = std::mutex{};
    auto random = std::mt19937{std::random_device{}()};
    const auto draw = [&](double share) {
        const auto lock = std::lock_guard{mutex};
        return is_troubled && std::bernoulli_distribution{share}(random);
    };
    const auto draw_up_to = [&](std::size_t most) {
        const auto lock = std::lock_guard{mutex};
        return std::uniform_int_distribution<std::size_t>{0, most}(random);
    };
    auto told = std::map<std::string, std::string>{}; // What the upstreams did, by request.
    const auto tell = [&](const std::string& id, const std::string& what) {
        const auto lock = std::lock_guard{mutex};
        told[id] += "; " + what;
    };

    const auto grey_at = at();
    auto grey = server{grey_at, [&](connection& from) {
        while (const auto request = read_message(from, 60'000)) {
            const auto id = request->field(id_field);
            if (!is_for(*request, "i-grey")) {
                from.write(misdirected("i-grey"));
            } else if (sleep_ms(2); draw(failing_share)) {
                tell(id, "i-grey answered it 500");
                from.write(to_text("HTTP/1.1 500 Internal Server Error", own_fields(*request), "failed"));
            } else {
                from.write(to_text("HTTP/1.1 200 OK", own_fields(*request), body_for(id)));
            }
        }
    }};
    const auto garbling_at = at();
    auto garbling = server{garbling_at, [&](connection& from) {
        auto last = std::string{};
        while (const auto request = read_message(from, 60'000)) {
            const auto id = request->field(id_field);
            if (!is_for(*request, "i-garbling")) {
                from.write(misdirected("i-garbling"));
                continue;
            }
            sleep_ms(2);
            const auto answer = to_text("HTTP/1.1 200 OK", own_fields(*request), body_for(id));
            if (!last.empty() && draw(garbled_share)) {
                const auto size = draw_up_to(answer.size() - 1);
                tell(id, "i-garbling sent its last answer a second time, and broke this one off after " +
                             std::to_string(size) + " of " + std::to_string(answer.size()) + " bytes");
                from.write(last + answer.substr(0, size));
                return;
            }
            from.write(answer);
            last = answer;
        }
    }};
    platform.put("servers", "i-grey", entry_of("packs", grey_at, "z", 16));
    platform.put("servers", "i-garbling", entry_of("packs", garbling_at, "z", 16));
    platform.put("config", "main", config());

    auto instance = gateway{"edge-1", "z", store_at, work_folder()};
    instance.start();
    if (!instance.wait_until_ready(15'000)) {
        give_up("the instance does not become ready");
    }
    sleep_ms(in_touch_ms);
    notes.line("the instance has been ready and undisturbed for stable-window-s");

    is_troubled = trouble;
    const auto until = now_ms() + trouble_ms;
    auto asked = std::atomic<int>{0};
    auto served = std::atomic<int>{0};
    auto mixed = std::atomic<int>{0};
    auto clients = std::vector<std::thread>{};
    for (auto index = 0; index < clients_count; ++index) {
        clients.emplace_back([&, index] {
            auto link = connect_to(instance.front);
            for (auto turn = 0; now_ms() < until && instance.pid() > 0; ++turn) {
                if (!link) {
                    sleep_ms(20);
                    link = connect_to(instance.front);
                    continue;
                }
                const auto id = "pack-" + std::to_string(index) + "-" + std::to_string(turn);
                const auto end = ask(*link, "GET", "/packs/1", id, 800, 3000);
                ++asked;
                if (end.end != "answered") {
                    link = connect_to(instance.front);
                    continue;
                }
                const auto status = end.answer.status();
                const auto is_success = status >= 200 && status < 300;
                const auto is_own = end.answer.body == body_for(id) &&
                                    end.answer.field("Teaselcross-Server-Signature") == "sig." + id;
                served += is_success && is_own ? 1 : 0;
                if (is_success && !is_own) {
                    ++mixed;
                    const auto lock = std::lock_guard{mutex};
                    notes.line("client: " + id + " got " + end.answer.start + ", whole, signature \"" +
                               end.answer.field("Teaselcross-Server-Signature") + "\", body of " +
                               std::to_string(end.answer.body.size()) + " bytes \"" + end.answer.body +
                               "\"" + told[id]);
                }
                if (lower(end.answer.field("connection")) == "close") {
                    link = connect_to(instance.front);
                }
            }
        });
    }
    for (auto& each : clients) {
        each.join();
    }
    const auto exit = instance.exit_text();
    notes.line("asked " + std::to_string(asked.load()) + ", served with their own answer " +
               std::to_string(served.load()) + ", successes that are not the upstream's answer " +
               std::to_string(mixed.load()));
    notes.line("the instance's process: " + (exit.empty() ? std::string{"runs"} : exit));
    std::cout << (mixed > 0 ? "MIXED is broken: " : "MIXED holds: ") << mixed.load() << " of "
              << asked.load() << " clients got a success that no upstream gave; the process "
              << (exit.empty() ? std::string{"runs"} : exit) << std::endl;
    instance.end();
    finish(mixed > 0 ? 1 : 0);
}
