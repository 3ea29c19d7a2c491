// A planned stop loses answers: a client that has sent a further request and reads slowly gets only a part of
// an answer that was ready, because its connection is reset half a second after the answer was handed to the
// kernel.

#include "../standins-2/platform.h"

using namespace review;

namespace {

constexpr auto clients = 5;
constexpr auto answer_bytes = std::size_t{30'000}; // The sheet's largest answer to pack-fetch.
constexpr auto work_seconds = 0.16;                // Its mean.
constexpr auto time_budget_ms = 2500;              // Its time budget.
constexpr auto timeout_seconds = 2.5;
constexpr auto window_bytes = 4096;
constexpr auto part_bytes = std::size_t{900};
constexpr auto part_seconds = 0.05; // The whole answer is read in less than 1.8 s.

auto serve(connection& from) -> void {
    while (const auto asked = read_message(from, 60, false)) {
        const auto id = asked->field("Teaselcross-Request-Attempt-Id");
        note("server runs " + id);
        pause(work_seconds);
        const auto answer = make_response(
            200, {{"Teaselcross-Request-Attempt-Id", id}, {"Teaselcross-Server-Signature", "mac-" + id}},
            std::string(answer_bytes, 'x'));
        note("server has sent " +
             std::string{from.send(answer) ? "its whole answer to " : "a part of its answer to "} + id);
    }
}

/// Sends a request, and a further one before the answer. Returns whether the first answer came complete. The
/// further request is not judged: the program may close the connection before it reads it.
auto ask(const process& asked, const std::string& name) -> bool {
    auto link = dial(asked.front, window_bytes);
    if (!link) {
        return false;
    }
    const auto first = name + "-first";
    const auto began = seconds_now();
    link->send(request("GET", "/pack/a", first, time_budget_ms));
    note("client sent " + first);
    pause(0.05);
    link->send(request("GET", "/pack/b", name + "-further", time_budget_ms));
    note("client sent " + name + "-further");
    const auto head = read_head(*link, timeout_seconds);
    if (!head) {
        note("client got no answer to " + first + ", connection " + link->last_error);
        return false;
    }
    while (link->buffer.size() < answer_bytes && link->fill(timeout_seconds, part_bytes)) {
        pause(part_seconds);
    }
    const auto got = std::min(link->buffer.size(), answer_bytes);
    note("client got status " + std::to_string(head->status()) + " and " + std::to_string(got) + " of " +
         head->field("content-length") + " bytes for " + first + " in " +
         std::to_string(seconds_now() - began) + " s, Connection: " + head->field("connection") +
         (got < answer_bytes ? ", then: " + link->last_error : ""));
    return got == answer_bytes;
}

} // namespace

auto main(int count, char** arguments) -> int {
    const auto around = begin_case(count, arguments);
    const auto platform = endpoint{.port = free_port()};
    auto shop = store{platform};
    const auto at = endpoint{.port = free_port()};
    const auto packs = server{at, serve};
    shop.put("config", "main",
             config(3, json::array({rule("pack", "/pack/", "packs", "safe", timeout_seconds, 2, 0.6)}),
                    json::array({cluster("packs")})));
    register_server(shop, "i-pack", "packs", at);
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
    auto lost = std::atomic<int>{0};
    auto threads = std::vector<std::thread>{};
    if (around.has_trouble) {
        note("SIGTERM to " + one.name);
        ::kill(one.pid, SIGTERM);
    }
    pause(0.1);
    for (auto index = 0; index < clients; ++index) {
        threads.emplace_back([&, index] { lost += ask(one, "c" + std::to_string(index)) ? 0 : 1; });
    }
    for (auto& each : threads) {
        each.join();
    }
    end(one);
    end_case(lost > 0 ? 1 : 0, std::to_string(lost) + " of " + std::to_string(clients) +
                                   " answers that were ready did not reach their clients whole");
}
