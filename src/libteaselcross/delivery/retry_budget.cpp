#include "delivery/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace teaselcross {

namespace {

auto advance(retry_budget& state, const retry_budget_options& options, instant now) -> void {
    const auto width = options.window.count() / static_cast<std::int64_t>(retry_budget::slices - 1);
    const auto slice = now.time_since_epoch().count() / std::max<std::int64_t>(width, 1);
    const auto steps = std::min<std::int64_t>(slice - state.slice, retry_budget::slices);
    for (auto step = std::int64_t{0}; step < steps; ++step) {
        const auto index = static_cast<std::size_t>(slice - step) % retry_budget::slices;
        state.requests.at(index) = 0;
        state.extras.at(index) = 0;
    }
    state.slice = std::max(slice, state.slice);
}

auto newest(const retry_budget& state) -> std::size_t {
    return static_cast<std::size_t>(state.slice) % retry_budget::slices;
}

} // namespace

auto count_request(retry_budget& state, const retry_budget_options& options, instant now) -> void {
    advance(state, options, now);
    ++state.requests.at(newest(state));
}

auto request_rate(retry_budget& state, const retry_budget_options& options, instant now) -> double {
    advance(state, options, now);
    const auto requests = std::accumulate(state.requests.begin(), state.requests.end(), 0U);
    return requests / std::chrono::duration<double>(options.window).count();
}

auto is_unused(retry_budget state, const retry_budget_options& options, instant now) -> bool {
    advance(state, options, now);
    const auto counts = std::accumulate(state.requests.begin(), state.requests.end(), 0U) +
                        std::accumulate(state.extras.begin(), state.extras.end(), 0U);
    return counts == 0;
}

auto take_extra(retry_budget& state, const retry_budget_options& options, std::size_t instances, instant now)
    -> bool {
    advance(state, options, now);
    const auto requests = std::accumulate(state.requests.begin(), state.requests.end(), 0U);
    const auto spent = std::accumulate(state.extras.begin(), state.extras.end(), 0U);
    const auto share = options.extra / static_cast<double>(std::max<std::size_t>(instances, 1));
    const auto allowed = (1.0 - options.reserve) * (options.ratio * requests + share);
    if (spent + 1.0 > allowed) {
        return false;
    }
    ++state.extras.at(newest(state));
    return true;
}

} // namespace teaselcross
