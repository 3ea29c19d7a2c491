#include "delivery/hedge.h"

#include <algorithm>

namespace teaselcross {

namespace {

constexpr auto estimate_interval = 32U;
constexpr auto min_samples = std::size_t{32};

auto update_delay(hedger& state) -> void {
    auto sorted = state.latencies;
    const auto rank =
        static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * state.options.quantile);
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), sorted.end());
    state.delay = std::max(state.options.min_delay, sorted[rank]);
}

} // namespace

auto make_hedger(const hedge_options& options) -> hedger {
    auto state = hedger{};
    state.options = options;
    state.budget.tokens_per_request = options.budget_ratio;
    return state;
}

auto hedge_delay(hedger& state) -> std::optional<duration> {
    on_request(state.budget);
    return state.delay;
}

auto take_hedge(hedger& state) -> bool {
    return take_retry(state.budget);
}

auto on_answered(hedger& state, duration latency) -> void {
    if (state.latencies.size() < state.options.window) {
        state.latencies.push_back(latency);
    } else {
        state.latencies[state.next_slot] = latency;
        state.next_slot = (state.next_slot + 1) % state.options.window;
    }
    if (++state.since_estimate >= estimate_interval && state.latencies.size() >= min_samples) {
        state.since_estimate = 0;
        update_delay(state);
    }
}

} // namespace teaselcross
