#include "admission/warmth.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto smoothing = 0.1;

auto is_slow(const warmth& state, duration latency) -> bool {
    constexpr auto floor_us = 1000.0;
    const auto usual = std::max(state.usual_us, floor_us);
    return state.usual_us > 0 && static_cast<double>(latency.count()) > usual * state.options.slow_factor;
}

auto consider_raise(warmth& state, instant now) -> void {
    const auto enough = state.good >= state.options.step_completions;
    if (state.limit < state.options.slots && enough && now - state.limit_since >= state.options.step_time) {
        ++state.limit;
        state.limit_since = now;
        state.good = 0;
    }
}

} // namespace

auto make_warmth(const warmth_options& options, instant now) -> warmth {
    auto state = warmth{};
    state.options = options;
    cool(state, cooling::new_process, now);
    return state;
}

auto cool(warmth& state, cooling reason, instant now) -> void {
    state.limit = std::min(state.options.cold_slots, state.options.slots);
    state.limit_since = now;
    state.cold_since = now;
    state.cooled_by = reason;
    state.good = 0;
    state.bad = 0;
    if (reason == cooling::new_process) {
        state.usual_us = 0;
    }
}

auto on_completion(warmth& state, bool good, duration latency, instant now) -> void {
    const auto slow = is_slow(state, latency);
    if (!good || slow) {
        state.good = 0;
        if (++state.bad >= state.options.slow_streak) {
            cool(state, good ? cooling::latency_step : cooling::failures, now);
            if (good) {
                // The new latency becomes the usual one, or the target would stay cold for ever.
                state.usual_us = static_cast<double>(latency.count());
            }
        }
        return;
    }
    state.bad = 0;
    ++state.good;
    const auto sample = static_cast<double>(latency.count());
    state.usual_us = state.usual_us > 0 ? state.usual_us + smoothing * (sample - state.usual_us) : sample;
    consider_raise(state, now);
}

auto warm_fraction(const warmth& state) -> double {
    return static_cast<double>(state.limit) / static_cast<double>(state.options.slots);
}

} // namespace teaselcross
