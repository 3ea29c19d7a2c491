// The cases of this review: cases NAME FOLDER. TROUBLE=0 leaves out the disruption. Exit code 1 if the rule was
// broken, 0 if it held, 2 if the case could not run.

#include "harness.h"

#include <map>
#include <set>

namespace review {

auto is_troubled() -> bool {
    const auto* set = std::getenv("TROUBLE");
    return set == nullptr || std::string{set} != "0";
}

// ---------------------------------------------------------------------------------------------------------
// A machine with many kept connections is stopped with SIGTERM while some clients read their answers slowly.

auto slow_readers(record& notes) -> void {
    constexpr auto kept_connections = 300;
    constexpr auto readers = 6;
    constexpr auto size = std::size_t{30'000}; // Of an answer: the largest of the site's reports.
    constexpr auto timeout_ms = 4000.0;
    constexpr auto budget_ms = 8000;
    constexpr auto piece = std::size_t{200};
    constexpr auto piece_ms = 23.0; // Between two pieces: an answer takes about 3.5 s.
    constexpr auto small_buffer = 4096;
    auto platform = store{};
    auto sent_whole = std::atomic<int>{0};
    auto servers = std::vector<std::unique_ptr<upstream>>{};
    const auto zones = std::array<std::string, 3>{"turku-a", "turku-b", "salo-c"};
    const auto work = [&](connection& to, const message& request) {
        const auto id = request.field("Teaselcross-Request-Attempt-Id");
        sleep_ms(20);
        if (!request.target().starts_with("/reports/")) {
            return to.send(answer_text(200, own_fields(request), "found " + id));
        }
        if (!to.send(answer_text(200, own_fields(request), std::string(size, 'a')))) {
            return false;
        }
        ++sent_whole;
        notes.note("server has run " + id + " and sent its whole answer");
        return true;
    };
    for (auto index = 0; index < 3; ++index) {
        servers.push_back(std::make_unique<upstream>(platform, "t-" + std::to_string(index), "reports", zones[index], 4, work));
        servers.push_back(std::make_unique<upstream>(platform, "l-" + std::to_string(index), "lookups", zones[index], 4, work));
    }
    write_config(platform, 7,
                 {{"/reports/", "safe", {{"service", "reports"}}, timeout_ms / 1000, 2.0},
                  {"/lookups/", "safe", {{"service", "lookups"}}, 1.0, 0.5}},
                 {"reports", "lookups"});
    auto machines = fleet{platform, 3, notes};
    sleep_ms(4000);
    auto& stopped = machines.machines().front();
    auto kept = std::vector<std::unique_ptr<connection>>{};
    for (auto index = 0; index < kept_connections; ++index) {
        auto opened = open_connection(stopped.front);
        const auto id = "k-" + std::to_string(index);
        if (!opened || !opened->send(request_text("GET", "/lookups/" + id, id, 2000))) {
            continue;
        }
        const auto answer = opened->read(now_ms() + 2000, true);
        if (answer && answer->is_whole) {
            kept.push_back(std::move(opened));
        }
    }
    notes.note(std::to_string(kept.size()) + " clients keep their connections to " + stopped.name +
               " open after an answer");
    // They close their side as soon as the machine closes its own.
    auto closing = std::thread{[&] {
        while (!kept.empty()) {
            std::erase_if(kept, [](const auto& each) { return !each->read_some(100); });
            sleep_ms(2);
        }
    }};
    if (is_troubled()) {
        machines.signal(stopped, SIGTERM);
    }
    sleep_ms(300);
    auto whole = std::atomic<int>{0};
    auto cut = std::atomic<int>{0};
    auto reading = std::vector<std::thread>{};
    for (auto index = 0; index < readers; ++index) {
        reading.emplace_back([&, index] {
            const auto id = "s-" + std::to_string(index);
            const auto begun = now_ms();
            const auto opened = open_connection(stopped.front, small_buffer);
            if (!opened || !opened->send(request_text("GET", "/reports/" + id, id, budget_ms))) {
                notes.note("client cannot send " + id);
                return;
            }
            notes.note("client sends " + id + " to " + stopped.name + " and reads its answer slowly");
            auto received = std::string{};
            auto body_from = std::string::npos;
            while (now_ms() < begun + timeout_ms) {
                const auto part = opened->read_some(piece);
                if (!part) {
                    break;
                }
                received += *part;
                body_from = received.find("\r\n\r\n");
                if (body_from != std::string::npos && received.size() >= body_from + 4 + size) {
                    break;
                }
                sleep_ms(piece_ms);
            }
            const auto body = body_from == std::string::npos ? 0 : received.size() - body_from - 4;
            whole += body >= size ? 1 : 0;
            cut += body < size && opened->ended() ? 1 : 0;
            notes.note("client: " + id + " has " + std::to_string(body) + " of " + std::to_string(size) + " bytes, " +
                       (body >= size         ? "whole"
                        : opened->was_reset() ? "connection reset"
                        : opened->ended()     ? "connection closed"
                                              : "not whole in time") +
                       ", after " + std::to_string(static_cast<int>(now_ms() - begun)) + " ms; the route's timeout is " +
                       std::to_string(static_cast<int>(timeout_ms)) + " ms, the client's time budget " +
                       std::to_string(budget_ms) + " ms");
        });
    }
    for (auto& each : reading) {
        each.join();
    }
    notes.note("answers whole " + std::to_string(whole) + ", cut " + std::to_string(cut) +
               ", sent whole by servers " + std::to_string(sent_whole));
    if (sent_whole == 0 || kept_connections == 0) {
        notes.give_up("no request reached a server");
    }
    notes.end(cut == 0);
}

// ---------------------------------------------------------------------------------------------------------
// A machine is stopped with SIGTERM while uploads run whose server reads on only after a while.

auto slow_upload(record& notes) -> void {
    constexpr auto size = std::size_t{1'000'000};
    constexpr auto budget_ms = 5000;
    constexpr auto pause_ms = 3000.0;
    constexpr auto uploads = 4;
    auto platform = store{};
    auto begun_work = std::atomic<int>{0};
    const auto begin_work = [&](const message& request) {
        const auto id = request.field("Teaselcross-Request-Attempt-Id");
        if (!id.empty()) {
            ++begun_work;
            notes.note("server begins to work on " + id + (is_troubled() ? " and reads on in 3 s" : ""));
            sleep_ms(is_troubled() ? pause_ms : 0.0);
        }
    };
    const auto work = [&](connection& to, const message& request) {
        const auto id = request.field("Teaselcross-Request-Attempt-Id");
        notes.note("server has run " + id + ", " + std::to_string(request.body.size()) + " bytes");
        return to.send(answer_text(200, own_fields(request), "logged " + id));
    };
    auto servers = std::vector<std::unique_ptr<upstream>>{};
    const auto zones = std::array<std::string, 3>{"turku-a", "turku-b", "salo-c"};
    for (auto index = 0; index < 3; ++index) {
        servers.push_back(std::make_unique<upstream>(platform, "i-" + std::to_string(index), "ledger", zones[index], 4,
                                                     work, begin_work));
    }
    write_config(platform, 7, {{"/ledger/", "non_idempotent", {{"service", "ledger"}}, 5.0, 2.0}}, {"ledger"});
    auto machines = fleet{platform, 3, notes};
    sleep_ms(4000);
    auto& stopped = machines.machines().front();
    auto replaced = std::atomic<int>{0};
    auto answered = std::atomic<int>{0};
    auto asked = std::vector<std::thread>{};
    for (auto index = 0; index < uploads; ++index) {
        asked.emplace_back([&, index] {
            const auto id = "u-" + std::to_string(index);
            const auto begun = now_ms();
            const auto opened = open_connection(stopped.front);
            notes.note("client sends " + id + " to " + stopped.name);
            if (!opened || !opened->send(request_text("POST", "/ledger/" + id, id, budget_ms, std::string(size, 'a')))) {
                notes.note("client cannot send " + id);
                return;
            }
            const auto answer = opened->read(begun + budget_ms, true);
            const auto status = answer ? answer->status() : 0;
            const auto is_signed = answer && !answer->field("Teaselcross-Server-Signature").empty();
            answered += status == 200 && is_signed ? 1 : 0;
            replaced += status >= 500 && !is_signed ? 1 : 0;
            notes.note("client: " + id + " has " + (answer ? std::to_string(status) : "no answer") +
                       (is_signed ? " of its server" : " of the machine itself") + " after " +
                       std::to_string(static_cast<int>(now_ms() - begun)) + " ms of " + std::to_string(budget_ms));
        });
    }
    sleep_ms(300);
    machines.signal(stopped, SIGTERM);
    for (auto& each : asked) {
        each.join();
    }
    sleep_ms(pause_ms);
    auto broken_off = 0;
    for (const auto& each : servers) {
        broken_off += each->broken_off();
    }
    notes.note("uploads " + std::to_string(uploads) + ", answered by their servers " + std::to_string(answered) +
               ", broken off while their servers were at work on them " + std::to_string(broken_off) +
               ", answered by the machine itself " + std::to_string(replaced));
    if (begun_work == 0) {
        notes.give_up("no upload reached a server");
    }
    notes.end(broken_off == 0 || replaced == 0);
}

// ---------------------------------------------------------------------------------------------------------
// More clients than 4096 keep a connection to one machine, which may have 10,250 descriptors.

auto many_connections(record& notes) -> void {
    const auto wanted = is_troubled() ? 4300 : 3900;
    constexpr auto openers = 8;
    constexpr auto newcomers = 12;
    constexpr auto window_ms = 3000.0; // stable-window-s
    constexpr auto watch_ms = 5000.0;
    constexpr auto needed_files = rlim_t{5'000}; // Of this process, and of the machine, which inherits the limit.
    auto files = rlimit{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::max(files.rlim_cur, std::min(files.rlim_max, needed_files));
    ::setrlimit(RLIMIT_NOFILE, &files);
    if (files.rlim_cur < needed_files) {
        notes.give_up("this machine allows a process too few open files");
    }
    auto platform = store{};
    const auto work = [&](connection& to, const message& request) {
        return to.send(answer_text(200, own_fields(request), "found"));
    };
    auto servers = std::vector<std::unique_ptr<upstream>>{};
    const auto zones = std::array<std::string, 3>{"turku-a", "turku-b", "salo-c"};
    for (auto index = 0; index < 3; ++index) {
        servers.push_back(std::make_unique<upstream>(platform, "i-" + std::to_string(index), "history", zones[index], 40, work));
    }
    write_config(platform, 7, {{"/history/", "safe", {{"service", "history"}}, 2.0, 1.0}}, {"history"});
    auto machines = fleet{platform, 3, notes, {.cpu_share = 0.25, .memory_mb = 400, .max_fds = 10250}};
    sleep_ms(4000);
    auto& full = machines.machines().front();
    const auto ask = [](connection& over, const std::string& id) {
        if (!over.send(request_text("GET", "/history/" + id, id, 2000))) {
            return false;
        }
        const auto answer = over.read(now_ms() + 2000, true);
        return answer && answer->status() == 200 && answer->is_whole;
    };
    auto kept_mutex = std::mutex{};
    auto kept = std::vector<std::unique_ptr<connection>>{};
    auto next = std::atomic<int>{0};
    auto opening = std::vector<std::thread>{};
    for (auto opener = 0; opener < openers; ++opener) {
        opening.emplace_back([&] {
            for (auto number = next++; number < wanted; number = next++) {
                auto opened = open_connection(full.front);
                if (opened && ask(*opened, "k-" + std::to_string(number))) {
                    const auto lock = std::lock_guard{kept_mutex};
                    kept.push_back(std::move(opened));
                }
            }
        });
    }
    for (auto& each : opening) {
        each.join();
    }
    notes.note(std::to_string(kept.size()) + " of " + std::to_string(wanted) +
               " clients have had an answer from " + full.name + " and keep their connections");
    const auto begun = now_ms();
    auto served_mutex = std::mutex{};
    auto last_served = begun;
    auto longest = 0.0;
    auto served = std::atomic<int>{0};
    auto turned_away = std::atomic<int>{0};
    auto ready = std::atomic<int>{0};
    auto not_ready = std::atomic<int>{0};
    const auto is_over = [&] { return now_ms() >= begun + watch_ms; };
    auto trying = std::vector<std::thread>{};
    for (auto client = 0; client < newcomers; ++client) {
        trying.emplace_back([&, client] {
            for (auto round = 0; !is_over(); ++round) {
                const auto opened = open_connection(full.front);
                if (opened && ask(*opened, "n-" + std::to_string(client) + "-" + std::to_string(round))) {
                    ++served;
                    const auto lock = std::lock_guard{served_mutex};
                    longest = std::max(longest, now_ms() - last_served);
                    last_served = now_ms();
                } else {
                    ++turned_away;
                }
                sleep_ms(100);
            }
        });
    }
    while (!is_over()) {
        (fleet::is_ready(full) ? ready : not_ready) += 1;
        sleep_ms(1000);
    }
    for (auto& each : trying) {
        each.join();
    }
    longest = std::max(longest, begun + watch_ms - last_served);
    auto still_served = 0;
    for (std::size_t index = 0; index < 20 && index < kept.size(); ++index) {
        still_served += ask(*kept[index], "o-" + std::to_string(index)) ? 1 : 0;
    }
    notes.note("in " + std::to_string(static_cast<int>(watch_ms)) + " ms " + std::to_string(newcomers) +
               " clients try new connections: served " + std::to_string(served) + ", closed unanswered " +
               std::to_string(turned_away) + "; longest time without a new connection served " +
               std::to_string(static_cast<int>(longest)) + " ms");
    notes.note("readiness: 200 " + std::to_string(ready) + " times, otherwise " + std::to_string(not_ready) +
               " times; kept connections that are served: " + std::to_string(still_served) + " of 20");
    if (kept.size() < 3800) {
        notes.give_up("too few connections could be opened");
    }
    notes.end(longest < window_ms || not_ready > 0);
}

// ---------------------------------------------------------------------------------------------------------
// The operator changes the weights of a split: one part gets none any more.

auto weights_withdrawn(record& notes) -> void {
    constexpr auto config_apply_ms = 2000.0;
    auto platform = store{};
    auto runs_mutex = std::mutex{};
    auto ran_by = std::map<std::string, std::string>{};
    const auto work = [&](const std::string& service, connection& to, const message& request) {
        const auto id = request.field("Teaselcross-Request-Attempt-Id");
        {
            const auto lock = std::lock_guard{runs_mutex};
            ran_by[id] = service;
        }
        sleep_ms(5);
        return to.send(answer_text(200, own_fields(request), "done"));
    };
    auto servers = std::vector<std::unique_ptr<upstream>>{};
    const auto zones = std::array<std::string, 3>{"turku-a", "turku-b", "salo-c"};
    for (auto index = 0; index < 3; ++index) {
        for (const auto* service : {"old", "new"}) {
            servers.push_back(std::make_unique<upstream>(
                platform, service + std::string{"-"} + std::to_string(index), service, zones[index], 4,
                [&work, service](connection& to, const message& request) { return work(service, to, request); }));
        }
    }
    const auto put_weights = [&](std::uint64_t version, int for_old, int for_new) {
        write_config(platform, version,
                     {{"/history/",
                       "safe",
                       {{"traffic-split",
                         {{{"service", "old"}, {"weight", for_old}}, {{"service", "new"}, {"weight", for_new}}}}},
                       1.0,
                       0.5}},
                     {"old", "new"});
        notes.note("operator: version " + std::to_string(version) + ", weights old " + std::to_string(for_old) +
                   ", new " + std::to_string(for_new));
    };
    put_weights(7, 50, 50);
    auto machines = fleet{platform, 3, notes};
    sleep_ms(4000);
    auto number = 0;
    const auto ask = [&](fleet::machine& machine) -> std::string {
        const auto id = "r-" + std::to_string(++number);
        const auto opened = open_connection(machine.front);
        if (!opened || !opened->send(request_text("GET", "/history/x", id, 2000))) {
            return "not sent";
        }
        const auto answer = opened->read(now_ms() + 2000, true);
        if (!answer || answer->status() != 200) {
            return "status " + std::to_string(answer ? answer->status() : 0);
        }
        const auto lock = std::lock_guard{runs_mutex};
        return ran_by[id];
    };
    for (auto& machine : machines.machines()) {
        for (auto count = 0; count < 41; ++count) {
            ask(machine);
        }
    }
    if (is_troubled()) {
        put_weights(9, 1, 0);
    } else {
        put_weights(9, 50, 50);
    }
    sleep_ms(config_apply_ms + 1000);
    constexpr auto requests = 100; // At each machine: 300 in all, in steady state.
    auto by_new = 0;
    auto by_old = 0;
    for (auto& machine : machines.machines()) {
        auto here = 0;
        for (auto count = 0; count < requests; ++count) {
            const auto by = ask(machine);
            here += by == "new" ? 1 : 0;
            by_old += by == "old" ? 1 : 0;
        }
        notes.note(machine.name + ": of " + std::to_string(requests) +
                   " requests sent over 3 s after the confirmation, " + std::to_string(here) +
                   " ran at the service new");
        by_new += here;
    }
    const auto others = 3 * requests - by_new - by_old;
    notes.note("requests without an answer " + std::to_string(others));
    if (others > 150) {
        notes.give_up("most requests were not served");
    }
    const auto share = static_cast<double>(by_new) / std::max(by_new + by_old, 1);
    const auto weight = is_troubled() ? 0.0 : 0.5;
    notes.note("share of the service new " + std::to_string(share) + ", by its weight " + std::to_string(weight) +
               " (allowed: 0.2 off)");
    notes.end(share <= weight + 0.2 && share >= weight - 0.2);
}

// ---------------------------------------------------------------------------------------------------------
// Two of four servers are in trouble: their answers have bodies without end.

auto endless_body(record& notes) -> void {
    constexpr auto timeout_ms = 1000.0;
    constexpr auto budget_ms = 2000;
    constexpr auto bound_ms = timeout_ms + 500;
    constexpr auto requests = 150;
    constexpr auto piece = std::size_t{32 * 1024};
    constexpr auto piece_ms = 5.0; // Between two pieces: 6 MB a second.
    auto platform = store{};
    const auto work = [&](bool is_in_trouble, connection& to, const message& request) {
        if (!is_in_trouble) {
            sleep_ms(160); // The mean work of the site's lookups.
            return to.send(answer_text(200, own_fields(request), "found"));
        }
        notes.note("server in trouble answers " + request.field("Teaselcross-Request-Attempt-Id"));
        auto is_open = to.send("HTTP/1.1 200 OK\r\n" + own_fields(request) + "Transfer-Encoding: chunked\r\n\r\n");
        while (is_open) {
            is_open = to.send("8000\r\n" + std::string(piece, 'x') + "\r\n");
            sleep_ms(piece_ms);
        }
        return false;
    };
    auto servers = std::vector<std::unique_ptr<upstream>>{};
    const auto zones = std::array<std::string, 3>{"turku-a", "turku-b", "salo-c"};
    for (auto index = 0; index < 4; ++index) {
        const auto is_in_trouble = is_troubled() && index % 2 == 0;
        servers.push_back(std::make_unique<upstream>(
            platform, "i-" + std::to_string(index), "history", zones[index % 3], 4,
            [&work, is_in_trouble](connection& to, const message& request) { return work(is_in_trouble, to, request); }));
    }
    write_config(platform, 7, {{"/history/", "safe", {{"service", "history"}}, timeout_ms / 1000, 0.5}}, {"history"});
    auto machines = fleet{platform, 3, notes};
    sleep_ms(4000);
    auto in_time = std::atomic<int>{0};
    auto longer = std::atomic<int>{0};
    auto unanswered = std::atomic<int>{0};
    auto asked = std::vector<std::thread>{};
    for (auto index = 0; index < requests; ++index) {
        asked.emplace_back([&, index] {
            auto& machine = machines.machines()[static_cast<std::size_t>(index) % 3];
            sleep_ms(index * 40);
            const auto id = "r-" + std::to_string(index);
            const auto opened = open_connection(machine.front);
            const auto begun = now_ms();
            if (!opened || !opened->send(request_text("GET", "/history/" + id, id, budget_ms))) {
                return;
            }
            const auto answer = opened->read(begun + budget_ms, true);
            const auto took = now_ms() - begun;
            if (took <= timeout_ms) {
                ++in_time;
                return;
            }
            ++longer;
            unanswered += took > bound_ms ? 1 : 0;
            notes.note("client: " + id + " at " + machine.name + " has " +
                       (answer ? std::to_string(answer->status()) : "no status") + " and " +
                       std::to_string(answer ? answer->body.size() : 0) + " bytes, " +
                       (answer && answer->is_whole ? "whole"
                        : opened->ended()          ? "connection closed"
                                                   : "still going on") +
                       ", after " + std::to_string(static_cast<int>(took)) + " ms");
        });
    }
    for (auto& each : asked) {
        each.join();
    }
    notes.note("requests " + std::to_string(requests) + ", answered within the route's timeout of 1 s " +
               std::to_string(in_time) + ", longer " + std::to_string(longer) +
               ", of these without a final answer half a second later " + std::to_string(unanswered) +
               " (allowed: seven, or a quarter)");
    if (in_time + longer == 0) {
        notes.give_up("no request was answered");
    }
    notes.end(unanswered < 8 || unanswered * 4 <= longer);
}

} // namespace review

auto main(int count, char** arguments) -> int {
    if (count != 3) {
        std::fprintf(stderr, "usage: cases NAME FOLDER\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    for (const auto ending : {SIGTERM, SIGINT, SIGHUP, SIGALRM}) {
        std::signal(ending, [](int) { review::leave(2); });
    }
    constexpr auto longest_s = 110;
    ::alarm(longest_s);
    auto& notes = *new review::record{std::string{arguments[2]} + "/record.txt"};
    const auto cases = std::map<std::string, void (*)(review::record&)>{
        {"slow_readers", review::slow_readers},
        {"slow_upload", review::slow_upload},
        {"many_connections", review::many_connections},
        {"weights_withdrawn", review::weights_withdrawn},
        {"endless_body", review::endless_body},
    };
    const auto found = cases.find(arguments[1]);
    if (found == cases.end()) {
        notes.give_up("no such case");
    }
    try {
        found->second(notes);
    } catch (const std::exception& error) {
        notes.give_up(error.what());
    }
    return 2;
}
