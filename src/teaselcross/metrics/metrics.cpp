#include "metrics/metrics.h"

#include <boost/histogram.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>

namespace teaselcross {

namespace bh = boost::histogram;

namespace {

constexpr auto bin_count = 40U;
constexpr auto min_seconds = 50e-6;
constexpr auto max_seconds = 50.0;

using axis = bh::axis::regular<double, bh::axis::transform::log>;

auto make_histogram() {
    return bh::make_histogram(axis{bin_count, min_seconds, max_seconds});
}

using latency_histogram = decltype(make_histogram());

} // namespace

struct metrics::histograms {
    std::array<latency_histogram, timing_names.size()> by_timing{
        make_histogram(), make_histogram(), make_histogram(), make_histogram(), make_histogram()};
    std::array<double, timing_names.size()> sums{};
};

metrics::metrics() : m_histograms{std::make_unique<histograms>()} {}

metrics::~metrics() = default;

auto metrics::count(counter which, std::uint64_t increment) -> void {
    m_counters.at(static_cast<std::size_t>(which)).fetch_add(increment, std::memory_order_relaxed);
}

auto metrics::value(counter which) const -> std::uint64_t {
    return m_counters.at(static_cast<std::size_t>(which)).load(std::memory_order_relaxed);
}

auto metrics::time(timing which, duration latency) -> void {
    const auto seconds = std::chrono::duration<double>(latency).count();
    const auto lock = std::scoped_lock{m_mutex};
    m_histograms->by_timing.at(static_cast<std::size_t>(which))(seconds);
    m_histograms->sums.at(static_cast<std::size_t>(which)) += seconds;
}

auto metrics::to_text() const -> std::string {
    auto families = std::vector<prometheus::MetricFamily>{};
    for (const auto& each : m_gauge_source ? m_gauge_source() : std::vector<gauge>{}) {
        const auto name = "teaselcross_" + each.name;
        auto family = std::find_if(families.begin(), families.end(),
                                   [&](const auto& known) { return known.name == name; });
        if (family == families.end()) {
            family = families.insert(family, {.name = name, .type = prometheus::MetricType::Gauge});
        }
        auto& metric = family->metric.emplace_back();
        metric.label.push_back({.name = "kind", .value = each.kind});
        metric.gauge.value = each.value;
    }
    for (std::size_t index = 0; index < counter_names.size(); ++index) {
        auto family = prometheus::MetricFamily{};
        family.name = "teaselcross_" + std::string{counter_names[index]};
        family.type = prometheus::MetricType::Counter;
        auto& metric = family.metric.emplace_back();
        metric.counter.value = static_cast<double>(m_counters.at(index).load(std::memory_order_relaxed));
        families.push_back(std::move(family));
    }
    const auto lock = std::scoped_lock{m_mutex};
    for (std::size_t index = 0; index < timing_names.size(); ++index) {
        auto family = prometheus::MetricFamily{};
        family.name = "teaselcross_" + std::string{timing_names[index]};
        family.type = prometheus::MetricType::Histogram;
        auto& histogram = family.metric.emplace_back().histogram;
        auto cumulative_count = 0.0;
        for (auto&& bin : bh::indexed(m_histograms->by_timing.at(index), bh::coverage::all)) {
            cumulative_count += *bin;
            histogram.bucket.push_back({.cumulative_count = static_cast<std::uint64_t>(cumulative_count),
                                        .upper_bound = bin.bin().upper()});
        }
        histogram.sample_count = static_cast<std::uint64_t>(cumulative_count);
        histogram.sample_sum = m_histograms->sums.at(index);
        families.push_back(std::move(family));
    }
    return prometheus::TextSerializer{}.Serialize(families);
}

} // namespace teaselcross
