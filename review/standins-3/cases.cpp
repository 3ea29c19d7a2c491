// The cases of this review: cases NAME FOLDER. TROUBLE=0 leaves out the disruption. Exit code 1 if the rule was
// broken, 0 if it held, 2 if the case could not run.

#include "harness.h"

#include <map>
#include <random>
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
// Many clients keep connections on which they have sent a long head, while others upload.

auto crowded_memory(record& notes) -> void {
    const auto wanted = is_troubled() ? 3'700 : 150; // Kept connections; the class has 3,900 sockets.
    constexpr auto head_bytes = std::size_t{16'000}; // Of a client's first request; max-header-bytes is 16,384.
    constexpr auto openers = 4;
    constexpr auto uploaders = 10;
    constexpr auto askers = 12;
    constexpr auto watch_ms = 30'000.0;
    constexpr auto refresh_ms = 9'000.0; // idle-timeout-s is 15, and clients reuse within four fifths of it.
    constexpr auto upload_rate = 12e6;   // Bytes a second for each; 120 MB/s together, on a link of 125 MB/s.
    constexpr auto smallest_upload = 3'000'000;
    constexpr auto largest_upload = 33'000'000; // In within 2.8 s; header-timeout-s is 3.
    constexpr auto piece = std::size_t{65'536};
    constexpr auto budget_ms = 5000;
    constexpr auto memory_kb = 260 * 1024L; // memory-mb, read as MiB.
    constexpr auto needed_files = rlim_t{5'000};
    auto files = rlimit{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::max(files.rlim_cur, std::min(files.rlim_max, needed_files));
    ::setrlimit(RLIMIT_NOFILE, &files);
    if (files.rlim_cur < needed_files) {
        notes.give_up("this machine allows a process too few open files");
    }
    auto platform = store{};
    auto begun_mutex = std::mutex{};
    auto begun = std::set<std::string>{}; // Requests that a server has begun to work on.
    const auto begin_work = [&](const message& request) {
        const auto lock = std::lock_guard{begun_mutex};
        begun.insert(request.field("Teaselcross-Request-Attempt-Id"));
    };
    const auto work = [](connection& to, const message& request) {
        sleep_ms(request.method() == "POST"                  ? 120
                 : request.target().starts_with("/history/w") ? 300
                                                              : 0);
        return to.send(answer_text(200, own_fields(request), "done"));
    };
    auto servers = std::vector<std::unique_ptr<upstream>>{};
    const auto zones = std::array<std::string, 3>{"turku-a", "turku-b", "salo-c"};
    for (auto index = 0; index < 3; ++index) {
        for (const auto* service : {"history", "ledger"}) {
            servers.push_back(std::make_unique<upstream>(platform, service + std::string{"-"} + std::to_string(index),
                                                         service, zones[index], 40, work, begin_work));
        }
    }
    write_config(platform, 7,
                 {{"/history/", "safe", {{"service", "history"}}, 2.0, 1.0},
                  {"/ledger/", "non_idempotent", {{"service", "ledger"}}, 5.0, 3.0}},
                 {"history", "ledger"});
    auto machines = fleet{platform, 3, notes};
    sleep_ms(4000);
    const auto& crowded = machines.machines().front();
    const auto started = now_ms();
    auto killed_at = std::atomic<double>{0};
    const auto is_over = [&] { return now_ms() >= started + watch_ms || killed_at > 0; };

    // The platform kills a process that exceeds its memory.
    auto peak_kb = std::atomic<long>{0};
    auto watching = std::thread{[&] {
        const auto file = "/proc/" + std::to_string(crowded.pid) + "/status";
        while (!is_over()) {
            auto lines = std::ifstream{file};
            auto resident_kb = 0L;
            for (auto line = std::string{}; std::getline(lines, line);) {
                resident_kb = line.starts_with("VmRSS:") ? std::atol(line.c_str() + 6) : resident_kb;
            }
            peak_kb = std::max(peak_kb.load(), resident_kb);
            if (resident_kb > memory_kb) {
                notes.note("platform: " + crowded.name + " has " + std::to_string(resident_kb) + " kB resident, over " +
                           std::to_string(memory_kb) + ", and is killed");
                ::kill(crowded.pid, SIGKILL);
                killed_at = now_ms();
            }
            sleep_ms(2);
        }
    }};

    // Clients that keep their connections: a long head at first, then a short request every 9 s.
    auto kept = std::atomic<int>{0};
    auto keeping = std::vector<std::thread>{};
    for (auto opener = 0; opener < openers; ++opener) {
        keeping.emplace_back([&, opener] {
            struct client {
                std::unique_ptr<connection> link;
                double used;
            };
            auto own = std::deque<client>{};
            auto opened = 0;
            const auto ask = [&](connection& link, bool is_first, int number) {
                const auto id = "k-" + std::to_string(opener) + "-" + std::to_string(number);
                auto text = request_text("GET", "/history/x", id, 2000);
                if (is_first) {
                    text.insert(text.size() - 2, "X-Context: " + std::string(head_bytes, 'a') + "\r\n");
                }
                const auto answer = link.send(text) ? link.read(now_ms() + 2000, true) : std::nullopt;
                return answer && answer->status() == 200;
            };
            for (auto number = 0; !is_over(); ++number) {
                if (!own.empty() && now_ms() - own.front().used > refresh_ms) {
                    auto oldest = std::move(own.front());
                    own.pop_front();
                    if (ask(*oldest.link, false, number)) {
                        oldest.used = now_ms();
                        own.push_back(std::move(oldest));
                    } else {
                        --kept;
                    }
                } else if (opened < wanted / openers) {
                    auto link = open_connection(crowded.front);
                    ++opened;
                    if (link && ask(*link, true, number)) {
                        own.push_back({std::move(link), now_ms()});
                        ++kept;
                    }
                    sleep_ms(6);
                } else {
                    sleep_ms(5);
                }
            }
        });
    }

    // Clients that upload, each on a new connection, in chunks.
    auto uploads_mutex = std::mutex{};
    auto uploads = std::map<int, int>{}; // By status.
    auto uploading = std::vector<std::thread>{};
    for (auto uploader = 0; uploader < uploaders; ++uploader) {
        uploading.emplace_back([&, uploader] {
            auto random = std::mt19937{static_cast<unsigned>(uploader)};
            const auto chunk = "10000\r\n" + std::string(piece, 'x') + "\r\n";
            for (auto round = 0; !is_over(); ++round) {
                const auto size = std::uniform_int_distribution<std::size_t>{smallest_upload, largest_upload}(random);
                const auto link = open_connection(crowded.front);
                const auto id = "u-" + std::to_string(uploader) + "-" + std::to_string(round);
                auto is_open = link && link->send("POST /ledger/x HTTP/1.1\r\nHost: jepu9.example\r\n"
                                                  "Teaselcross-Request-Attempt-Id: " + id +
                                                  "\r\nTeaselcross-Deadline-Remaining-Ms: " + std::to_string(budget_ms) +
                                                  "\r\nTransfer-Encoding: chunked\r\n\r\n");
                const auto begun_at = now_ms();
                for (auto sent = std::size_t{0}; is_open && sent + piece <= size; sent += piece) {
                    sleep_ms(std::max(0.0, begun_at + static_cast<double>(sent) / upload_rate * 1000 - now_ms()));
                    is_open = link->send(chunk);
                }
                is_open = is_open && link->send("0\r\n\r\n");
                const auto answer = link ? link->read(now_ms() + budget_ms, true) : std::nullopt;
                {
                    const auto lock = std::lock_guard{uploads_mutex};
                    ++uploads[answer ? answer->status() : 0];
                }
                sleep_ms(20);
            }
        });
    }

    // Clients whose requests are on their way all the time, on kept connections.
    auto lost = std::atomic<int>{0};
    auto answered = std::atomic<int>{0};
    auto asking = std::vector<std::thread>{};
    for (auto asker = 0; asker < askers; ++asker) {
        asking.emplace_back([&, asker] {
            auto link = std::unique_ptr<connection>{};
            auto is_kept = false;
            for (auto round = 0; !is_over(); ++round) {
                if (!link) {
                    link = open_connection(crowded.front);
                    is_kept = false;
                }
                const auto id = "w-" + std::to_string(asker) + "-" + std::to_string(round);
                const auto is_sent = link && link->send(request_text("GET", "/history/w", id, 2000));
                const auto answer = is_sent ? link->read(now_ms() + 2500, true) : std::nullopt;
                if (answer && answer->status() == 200) {
                    ++answered;
                    is_kept = true;
                    continue;
                }
                const auto was_closed = is_sent && !answer && link->ended();
                const auto lock = std::lock_guard{begun_mutex};
                if (was_closed && is_kept && begun.contains(id)) {
                    ++lost;
                    notes.note("client: " + id + " was passed on from a kept connection, and its connection is closed " +
                               "without an answer");
                }
                if (!answer) {
                    link.reset();
                }
            }
        });
    }
    while (!is_over()) {
        sleep_ms(1000);
        notes.note(crowded.name + ": resident at most " + std::to_string(peak_kb) + " kB so far; clients with kept " +
                   "connections " + std::to_string(kept));
    }
    for (auto* threads : {&keeping, &uploading, &asking}) {
        for (auto& each : *threads) {
            each.join();
        }
    }
    watching.join();
    auto by_status = std::string{};
    for (const auto& [status, count] : uploads) {
        by_status += " " + (status == 0 ? std::string{"none"} : std::to_string(status)) + ": " + std::to_string(count);
    }
    notes.note("uploads by the status of their answer:" + by_status);
    notes.note("lookups answered " + std::to_string(answered) + ", passed on from kept connections and closed without an " +
               "answer " + std::to_string(lost) + " (allowed: 3); " + crowded.name + " had at most " +
               std::to_string(peak_kb) + " kB of " + std::to_string(memory_kb) + " resident");
    if (answered < 100) {
        notes.give_up("too few lookups were served");
    }
    notes.end(lost <= 3);
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
        {"crowded_memory", review::crowded_memory},
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
