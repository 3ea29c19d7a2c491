#include "admission/warmup.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto smoothing = 0.1;

auto is_slow(const warmup_state& state, duration latency) -> bool {
    constexpr auto floor_us = 1000.0;
    const auto usual = std::max(state.usual_latency_us, floor_us);
    return state.usual_latency_us > 0 &&
           static_cast<double>(latency.count()) > usual * state.options.slow_factor;
}

auto raise_limit_if_due(warmup_state& state, instant now) -> void {
    const auto enough = state.good_completions >= state.options.step_completions;
    if (state.limit < state.options.slots && enough && now - state.limit_since >= state.options.step_time) {
        ++state.limit;
        state.limit_since = now;
        state.good_completions = 0;
    }
}

} // namespace

auto make_warmup(const warmup_options& options, instant now) -> warmup_state {
    auto state = warmup_state{};
    state.options = options;
    reset_to_cold(state, cold_cause::new_process, now);
    return state;
}

auto reset_to_cold(warmup_state& state, cold_cause reason, instant now) -> void {
    state.limit = std::min(state.options.cold_slots, state.options.slots);
    state.limit_since = now;
    state.cold_since = now;
    state.last_cold_cause = reason;
    state.good_completions = 0;
    state.bad_streak = 0;
    if (reason == cold_cause::new_process) {
        state.usual_latency_us = 0;
    }
}

auto on_completion(warmup_state& state, bool succeeded, duration latency, instant now) -> void {
    const auto slow = is_slow(state, latency);
    if (!succeeded || slow) {
        state.good_completions = 0;
        if (++state.bad_streak >= state.options.slow_streak) {
            reset_to_cold(state, succeeded ? cold_cause::latency_step : cold_cause::failures, now);
            if (succeeded) {
                // Takes the new latency as the usual one; otherwise the target would never become warm again.
                state.usual_latency_us = static_cast<double>(latency.count());
            }
        }
        return;
    }
    state.bad_streak = 0;
    ++state.good_completions;
    const auto sample = static_cast<double>(latency.count());
    state.usual_latency_us = state.usual_latency_us > 0
                                 ? state.usual_latency_us + smoothing * (sample - state.usual_latency_us)
                                 : sample;
    raise_limit_if_due(state, now);
}

auto warm_fraction(const warmup_state& state) -> double {
    return static_cast<double>(state.limit) / static_cast<double>(state.options.slots);
}

} // namespace teaselcross
