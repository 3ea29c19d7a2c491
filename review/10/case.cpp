// A failing server's own 503, which doesn't say that the request hasn't run, reaches the client as the
// promise that it hasn't.

#include "../standins-2/platform.h"

using namespace review;

namespace {

constexpr auto servers = 7; // One of them fails: a share of 0.143.
constexpr auto requests = 300;
constexpr auto at_once = 4;
constexpr auto work_seconds = 0.03;
constexpr auto time_budget_ms = 3000;
constexpr auto timeout_seconds = 3.0;

struct seen_requests {
    std::mutex guard;
    std::map<std::string, int> runs;
    int arrivals_at_failing = 0;
    int failures = 0;
};

/// Runs each request. A server that is failing ends two in five of its runs with a 503 of its own.
auto serve(connection& from, seen_requests& seen, const std::string& name, bool is_failing) -> void {
    while (const auto asked = read_message(from, 60, false)) {
        const auto id = asked->field("Teaselcross-Request-Attempt-Id");
        auto fails = false;
        {
            const auto lock = std::lock_guard{seen.guard};
            ++seen.runs[id];
            seen.arrivals_at_failing += is_failing ? 1 : 0;
            fails = is_failing && (seen.arrivals_at_failing % 5 == 3 || seen.arrivals_at_failing % 5 == 0);
            seen.failures += fails ? 1 : 0;
        }
        note(name + " runs " + id);
        pause(work_seconds);
        if (fails) {
            note(name + " ends its run of " + id + " with 503, without Teaselcross-Not-Executed");
        }
        from.send(make_response(
            fails ? 503 : 200,
            {{"Teaselcross-Request-Attempt-Id", id}, {"Teaselcross-Server-Signature", "mac-" + id}},
            fails ? "failed" : "done"));
    }
}

} // namespace

auto main(int count, char** arguments) -> int {
    const auto around = begin_case(count, arguments);
    const auto platform = endpoint{.port = free_port()};
    auto shop = store{platform};
    auto seen = seen_requests{};
    auto ledger = std::vector<std::unique_ptr<server>>{};
    for (auto index = 0; index < servers; ++index) {
        const auto at = endpoint{.port = free_port()};
        const auto name = "i-ledger-" + std::to_string(index);
        const auto fails = index == 0 && around.has_trouble;
        ledger.push_back(std::make_unique<server>(
            at, [&seen, name, fails](connection& from) { serve(from, seen, name, fails); }));
        register_server(shop, name, "ledger", at, 3);
    }
    shop.put("config", "main",
             config(3,
                    json::array({rule("pay", "/pay/", "ledger", "non_idempotent", timeout_seconds, 2, 0.6)}),
                    json::array({cluster("ledger")})));
    auto one = process{.name = "edge-1",
                       .front = {.port = free_port()},
                       .ready = {.port = free_port()},
                       .internal_port = free_port()};
    launch(one, around.program, around.directory, platform);
    if (!await_ready(one, 30)) {
        end(one);
        end_case(2, "the instance was not ready in time");
    }
    pause(1);
    auto sent = std::atomic<int>{0};
    auto broken = std::atomic<int>{0};
    auto threads = std::vector<std::thread>{};
    for (auto index = 0; index < at_once; ++index) {
        threads.emplace_back([&] {
            for (auto number = ++sent; number <= requests; number = ++sent) {
                const auto id = "pay-" + std::to_string(number);
                auto link = dial(one.front);
                if (!link || !link->send(request("POST", "/pay/fee", id, time_budget_ms, "fee=12"))) {
                    continue;
                }
                const auto answer = read_message(*link, timeout_seconds + 1, true);
                const auto status = answer ? answer->status() : 0;
                const auto lock = std::lock_guard{seen.guard};
                note("client got " + std::to_string(status) + " for " + id + ", which has run " +
                     std::to_string(seen.runs[id]) + " times");
                const auto is_promise = status == 503 || status == 429 || status == 408 || status == 421;
                broken += is_promise && seen.runs[id] > 0 ? 1 : 0;
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    end(one);
    note("the failing server ended " + std::to_string(seen.failures) + " of " +
         std::to_string(seen.arrivals_at_failing) + " runs with 503");
    end_case(broken > 0 ? 1 : 0,
             std::to_string(broken) + " of " + std::to_string(requests) +
                 " payments were answered with the promise that they had not run, and had run");
}
