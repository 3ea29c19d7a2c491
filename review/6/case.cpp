// One spoiled answer ends the process: a server closes a chunked answer with a trailer field of 70,000 bytes,
// and all requests that the instance has in progress are lost.

#include "../standins-2/platform.h"

using namespace review;

namespace {

constexpr auto payments = 8;
constexpr auto payment_seconds = 1.0;
constexpr auto trailer_bytes = std::size_t{70'000};
constexpr auto answers_of_faulty_server = 20; // The last one is spoiled: a twentieth.
constexpr auto most_rounds = 400;
constexpr auto time_budget_ms = 3000;
constexpr auto timeout_seconds = 3.0;
constexpr auto counted_losses = 3; // The rule allows this many.

/// Of the two servers of look-ups, the first one to reach the last of its answers spoils that one.
struct look_up_servers {
    bool may_spoil = false;
    std::atomic<bool> has_spoiled = false;
    std::array<std::atomic<int>, 2> answers{};

    auto is_next_the_last() const -> bool {
        return std::any_of(answers.begin(), answers.end(),
                           [](const auto& each) { return each == answers_of_faulty_server - 1; });
    }
};

auto serve_look_ups(connection& from, look_up_servers& servers, std::size_t index) -> void {
    const auto name = "i-look-" + std::to_string(index);
    while (const auto asked = read_message(from, 60, false)) {
        const auto id = asked->field("Teaselcross-Request-Attempt-Id");
        const auto is_last = ++servers.answers[index] == answers_of_faulty_server;
        const auto is_spoiled = is_last && !servers.has_spoiled.exchange(true) && servers.may_spoil;
        note(name + " answers " + id + (is_spoiled ? " with a trailer field of 70,000 bytes" : ""));
        from.send("HTTP/1.1 200 OK\r\nTeaselcross-Request-Attempt-Id: " + id +
                  "\r\nTeaselcross-Server-Signature: mac-" + id +
                  "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Note: " +
                  std::string(is_spoiled ? trailer_bytes : 10, 'x') + "\r\n\r\n");
    }
}

auto serve_payments(connection& from) -> void {
    while (const auto asked = read_message(from, 60, false)) {
        const auto id = asked->field("Teaselcross-Request-Attempt-Id");
        note("i-ledger runs " + id);
        pause(payment_seconds);
        const auto answer = make_response(
            200, {{"Teaselcross-Request-Attempt-Id", id}, {"Teaselcross-Server-Signature", "mac-" + id}},
            "done");
        note("i-ledger " + std::string{from.send(answer) ? "has answered " : "could not answer "} + id);
    }
}

/// Pays on a connection that has served a request. Returns whether there was an answer.
auto pay(connection& kept, const std::string& id) -> bool {
    kept.send(request("POST", "/pay/fee", id, time_budget_ms, "fee=12"));
    note("client sent " + id);
    const auto answer = read_message(kept, timeout_seconds + 1, true);
    note("client got " +
         (answer ? std::to_string(answer->status()) : "no answer, connection " + kept.last_error) + " for " +
         id);
    return answer && answer->whole;
}

} // namespace

auto main(int count, char** arguments) -> int {
    const auto around = begin_case(count, arguments);
    const auto platform = endpoint{.port = free_port()};
    auto shop = store{platform};
    auto look_ups = look_up_servers{.may_spoil = around.has_trouble};
    const auto first_at = endpoint{.port = free_port()};
    const auto first = server{first_at, [&](connection& from) { serve_look_ups(from, look_ups, 0); }};
    const auto second_at = endpoint{.port = free_port()};
    const auto second = server{second_at, [&](connection& from) { serve_look_ups(from, look_ups, 1); }};
    const auto ledger_at = endpoint{.port = free_port()};
    const auto ledger = server{ledger_at, serve_payments};
    shop.put("config", "main",
             config(3,
                    json::array({rule("look", "/look/", "looks", "safe", timeout_seconds, 2, 0.6),
                                 rule("pay", "/pay/", "ledger", "non_idempotent", timeout_seconds, 2, 2.0)}),
                    json::array({cluster("looks"), cluster("ledger")})));
    register_server(shop, "i-look-0", "looks", first_at);
    register_server(shop, "i-look-1", "looks", second_at);
    register_server(shop, "i-ledger", "ledger", ledger_at, payments);
    auto one = process{.name = "edge-1",
                       .front = {.port = free_port()},
                       .ready = {.port = free_port()},
                       .internal_port = free_port()};
    launch(one, around.program, around.directory, platform);
    if (!await_ready(one, 30)) {
        end(one);
        end_case(2, "the instance was not ready in time");
    }
    pause(4); // Longer than stable-window-s.
    auto kept = std::vector<std::unique_ptr<connection>>{};
    for (auto index = 0; index < payments; ++index) {
        auto link = dial(one.front);
        if (!link || !link->send(request("GET", "/none/", "kept-" + std::to_string(index), time_budget_ms)) ||
            !read_message(*link, timeout_seconds, true)) {
            end(one);
            end_case(2, "a connection could not be used");
        }
        kept.push_back(std::make_unique<connection>(std::move(*link)));
    }
    auto lost = std::atomic<int>{0};
    auto threads = std::vector<std::thread>{};
    for (auto round = 0; round < most_rounds && !look_ups.has_spoiled; ++round) {
        if (look_ups.is_next_the_last() && threads.empty()) {
            for (auto index = 0; index < payments; ++index) {
                threads.emplace_back(
                    [&, index] { lost += pay(*kept[index], "pay-" + std::to_string(index)) ? 0 : 1; });
            }
            pause(0.3);
        }
        auto link = dial(one.front);
        if (link && link->send(request("GET", "/look/1", "look-" + std::to_string(round), time_budget_ms))) {
            const auto answer = read_message(*link, timeout_seconds, true);
            note("client got " +
                 (answer ? std::to_string(answer->status()) : "no answer, connection " + link->last_error) +
                 " for look-" + std::to_string(round));
        }
    }
    for (auto& each : threads) {
        each.join();
    }
    auto state = 0;
    const auto has_died = has_ended(one, state);
    if (has_died) {
        note(one.name + " has ended by itself" +
             (WIFSIGNALED(state) ? ", by signal " + std::to_string(WTERMSIG(state)) : std::string{}));
    }
    end(one);
    if (!look_ups.has_spoiled) {
        end_case(2, "no server got enough requests");
    }
    end_case(lost > counted_losses ? 1 : 0, std::to_string(lost) + " of " + std::to_string(payments) +
                                                " payments that a sound server ran got no answer" +
                                                (has_died ? "; the process has ended by itself" : ""));
}
