#include "admission/queue.h"

#include <algorithm>
#include <utility>

namespace teaselcross {

namespace {

constexpr auto smoothing = 0.1;

auto service_time(const admission_queue& state) -> duration {
    return duration{static_cast<duration::rep>(state.service_us)};
}

auto start(admission_queue& state, const queued_request& request, instant now) -> void {
    state.in_flight[request.number] = {.caller = request.caller, .started = now};
    auto& turn = state.start_tags[request.caller];
    state.virtual_time = turn;
    ++turn;
}

/// Whether @a caller has a request that waits or is in flight.
auto is_active(const admission_queue& state, const std::string& caller) -> bool {
    const auto waits = std::any_of(state.waiting.begin(), state.waiting.end(),
                                   [&](const auto& each) { return each.caller == caller; });
    return waits || std::any_of(state.in_flight.begin(), state.in_flight.end(),
                                [&](const auto& each) { return each.second.caller == caller; });
}

/// The waiting request to start next: lowest start tag of its caller, then earliest deadline.
auto next_waiting(admission_queue& state) -> std::vector<queued_request>::iterator {
    return std::min_element(state.waiting.begin(), state.waiting.end(), [&](const auto& a, const auto& b) {
        const auto turn_a = state.start_tags.at(a.caller);
        const auto turn_b = state.start_tags.at(b.caller);
        return turn_a != turn_b ? turn_a < turn_b : a.deadline < b.deadline;
    });
}

/// Drops the waiting requests that cannot meet their deadline and starts others in free slots.
auto dispatch(admission_queue& state, instant now, admission_result& result) -> void {
    std::erase_if(state.waiting, [&](const auto& request) {
        const auto passed = now >= request.deadline;
        const auto late = now + service_time(state) > request.deadline;
        if (passed || late) {
            const auto reason = passed ? admission_refusal::deadline_passed : admission_refusal::too_late;
            result.drop.push_back({request.number, {reason, expected_time(state)}});
        }
        return passed || late;
    });
    while (!state.leaving && !state.waiting.empty() && state.in_flight.size() < state.warmup.limit) {
        const auto next = next_waiting(state);
        start(state, *next, now);
        result.start.push_back(next->number);
        state.waiting.erase(next);
    }
}

auto count_waiting(const admission_queue& state, const std::string& caller) -> std::size_t {
    return static_cast<std::size_t>(std::count_if(state.waiting.begin(), state.waiting.end(),
                                                  [&](const auto& each) { return each.caller == caller; }));
}

/// The caller with the most waiting requests.
auto heaviest_caller(const admission_queue& state) -> std::string {
    auto counts = std::map<std::string, std::size_t>{};
    for (const auto& each : state.waiting) {
        ++counts[each.caller];
    }
    return std::max_element(counts.begin(), counts.end(),
                            [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
}

/// Makes room in a full queue: drops the request with the latest deadline of the caller with the most waiting
/// requests. Returns false if that would not make the shares more even.
auto make_room(admission_queue& state, const queued_request& request, admission_result& result) -> bool {
    if (state.waiting.empty()) {
        return false;
    }
    const auto heaviest = heaviest_caller(state);
    if (count_waiting(state, heaviest) <= count_waiting(state, request.caller) + 1) {
        return false;
    }
    auto victim = state.waiting.end();
    for (auto each = state.waiting.begin(); each != state.waiting.end(); ++each) {
        if (each->caller == heaviest &&
            (victim == state.waiting.end() || each->deadline > victim->deadline)) {
            victim = each;
        }
    }
    result.drop.push_back({victim->number, {admission_refusal::queue_full, expected_time(state)}});
    state.waiting.erase(victim);
    return true;
}

} // namespace

auto expected_time(const admission_queue& state) -> duration {
    const auto ahead = static_cast<double>(state.waiting.size()) / std::max(1U, state.warmup.limit);
    return duration{static_cast<duration::rep>((ahead + 1) * state.service_us)};
}

auto submit(admission_queue& state, queued_request request, instant now) -> admission_result {
    auto result = admission_result{};
    const auto refuse = [&](admission_refusal reason) {
        result.drop.push_back({request.number, {reason, expected_time(state)}});
        return result;
    };
    if (state.leaving) {
        return refuse(admission_refusal::target_leaving);
    }
    if (now >= request.deadline) {
        return refuse(admission_refusal::deadline_passed);
    }
    const auto free_slot = state.in_flight.size() < state.warmup.limit && state.waiting.empty();
    if (!free_slot && now + expected_time(state) > request.deadline) {
        return refuse(admission_refusal::too_late);
    }
    if (!free_slot && state.waiting.size() >= state.queue_limit && !make_room(state, request, result)) {
        return refuse(admission_refusal::queue_full);
    }
    auto& turn = state.start_tags[request.caller];
    turn = std::max(turn, state.virtual_time);
    state.waiting.push_back(std::move(request));
    dispatch(state, now, result);
    return result;
}

auto finish(admission_queue& state, request_number number, bool succeeded, instant now) -> admission_result {
    auto result = admission_result{};
    const auto ended = state.in_flight.find(number);
    if (ended == state.in_flight.end()) {
        return result;
    }
    const auto latency = now - ended->second.started;
    const auto caller = ended->second.caller;
    state.in_flight.erase(ended);
    if (!is_active(state, caller)) {
        state.start_tags.erase(caller);
    }
    if (succeeded) {
        const auto sample = static_cast<double>(latency.count());
        state.service_us =
            state.service_us > 0 ? state.service_us + smoothing * (sample - state.service_us) : sample;
    }
    on_completion(state.warmup, succeeded, latency, now);
    dispatch(state, now, result);
    return result;
}

auto withdraw(admission_queue& state, request_number number, instant now) -> admission_result {
    std::erase_if(state.waiting, [&](const auto& each) { return each.number == number; });
    auto result = admission_result{};
    dispatch(state, now, result);
    return result;
}

auto on_tick(admission_queue& state, instant now) -> admission_result {
    auto result = admission_result{};
    dispatch(state, now, result);
    if (state.start_tags.size() > state.waiting.size() + state.in_flight.size()) {
        std::erase_if(state.start_tags, [&](const auto& each) { return !is_active(state, each.first); });
    }
    return result;
}

auto drop_waiting(admission_queue& state) -> admission_result {
    auto result = admission_result{};
    for (const auto& each : std::exchange(state.waiting, {})) {
        result.drop.push_back({each.number, {admission_refusal::target_leaving, duration{}}});
    }
    return result;
}

auto close_queue(admission_queue& state) -> admission_result {
    state.leaving = true;
    return drop_waiting(state);
}

} // namespace teaselcross
