// A faulty upstream sends additional bytes after a complete answer: the same answer once more, and again,
// without end, until the gateway closes. Payments that are sent to it are not answered when their route's
// time is over, nor later.

#include "../standins/standins.h"

using namespace review;

namespace {

constexpr auto payments = 3;
constexpr auto timeout_ms = 2000;  ///< timeout-s of the route.
constexpr auto late_ms = 500;      ///< RULES, CONFIG: "half a second later".
constexpr auto budget_ms = 20000;  ///< The clients' time budget: how long they wait for an answer.
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
                {{{"name", "r-pay"},
                  {"kind", "non_idempotent"},
                  {"target-latency-s", 1.0},
                  {"priority", 1},
                  {"match", {{"path-prefix", "/pay/"}}},
                  {"action",
                   {{"service", "ledger"}, {"timeout-s", timeout_ms / 1000.0}, {"max-attempts", 2}}}}}}}}},
            {"clusters",
             {{{"name", "ledger"},
               {"health-path", "/health"},
               {"max-conns", 130},
               {"protocol", "h1"},
               {"tls", false},
               {"cold-start-s", 3.0},
               {"cold-per-s", 13.0}}}}};
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
    auto is_faulty = std::atomic<bool>{false};
    const auto ledger_at = at();
    auto ledger = server{ledger_at, [&](connection& from) {
        auto last = std::string{};
        while (const auto request = read_message(from, 60'000)) {
            if (!is_for(*request, "i-ledger")) {
                from.write(misdirected("i-ledger"));
                continue;
            }
            const auto id = request->field(id_field);
            notes.line("i-ledger begins " + id);
            sleep_ms(20);
            if (is_faulty && !last.empty()) {
                // The extra answers arrive at the point where the next answer is expected.
                notes.line("i-ledger sends its last answer again, without end, where the answer to " + id +
                           " is expected");
                auto many = std::string{};
                while (many.size() < 1'000'000) {
                    many += last;
                }
                const auto began = now_ms();
                auto sent = std::size_t{0};
                while (from.write(many)) {
                    sent += many.size();
                }
                notes.line("i-ledger: the connection of " + id + " was closed after " +
                           std::to_string(now_ms() - began) + " ms and " + std::to_string(sent / 1'000'000) +
                           " MB");
                return;
            }
            last = to_text("HTTP/1.1 200 OK", own_fields(*request), "paid " + id);
            notes.line("i-ledger answers " + id);
            from.write(last);
        }
    }};
    platform.put("servers", "i-ledger", entry_of("ledger", ledger_at, "z", 16));
    platform.put("config", "main", config());

    auto instance = gateway{"edge-1", "z", store_at, work_folder()};
    instance.start();
    if (!instance.wait_until_ready(15'000)) {
        give_up("the instance does not become ready");
    }
    sleep_ms(in_touch_ms);
    notes.line("the instance has been ready and undisturbed for stable-window-s");

    auto unanswered = std::atomic<int>{0}; // At their route's timeout.
    auto still_unanswered = std::atomic<int>{0};
    auto clients = std::vector<std::thread>{};
    for (auto index = 0; index < payments; ++index) {
        clients.emplace_back([&, index] {
            const auto link = connect_to(instance.front);
            for (auto turn = 0; link && turn < 2; ++turn) {
                const auto id = "pay-" + std::to_string(index) + "-" + std::to_string(turn);
                is_faulty = trouble && turn == 1;
                const auto end = ask(*link, "POST", "/pay/1", id, budget_ms, budget_ms, {}, "amount=1");
                notes.line("client: " + id + " " + end.end + " " +
                           (end.end == "answered" ? std::to_string(end.answer.status()) : "") + " after " +
                           std::to_string(end.took_ms) + " ms");
                unanswered += end.took_ms >= timeout_ms ? 1 : 0;
                still_unanswered += end.took_ms >= timeout_ms + late_ms ? 1 : 0;
                sleep_ms(300);
            }
        });
    }
    for (auto& each : clients) {
        each.join();
    }
    const auto exit = instance.exit_text();
    notes.line("the instance's process: " + (exit.empty() ? std::string{"runs"} : exit));
    const auto broken = still_unanswered * 2 > unanswered && unanswered > 0;
    std::cout << (broken ? "CONFIG is broken: " : "CONFIG holds: ") << unanswered.load()
              << " requests had no answer at their route's timeout-s, " << still_unanswered.load()
              << " of them none half a second later" << std::endl;
    instance.end();
    finish(broken ? 1 : 0);
}
