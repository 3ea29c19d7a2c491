// Pattern: many instances share the connections that a target accepts. What they keep open together, in use
// and idle, has to stay below its limit: 195 instances with up to eight idle connections each exceeded 1,200,
// and the target reset new ones with the requests that were sent on them.

#include "admission/gate.h"

#include <gtest/gtest.h>

namespace teaselcross::test {

namespace {

constexpr auto start = instant{std::chrono::seconds{10}};

/// The largest number of requests in flight with which one more may be sent.
auto most_in_flight(const gate_options& options) -> std::uint32_t {
    auto view = target_view{.listed = {.slots = 1000}};
    const auto times = request_times{.deadline = start + std::chrono::seconds{5},
                                     .objective = start + std::chrono::seconds{5}};
    while (!check_admission(view, times, {}, options, start)) {
        ++view.in_flight;
    }
    return view.in_flight;
}

} // namespace

TEST(connection_share, all_instances_together_stay_below_the_limit) {
    struct fleet {
        std::uint32_t limit;
        std::size_t instances;
    };
    for (const auto& [limit, instances] :
         {fleet{130, 12}, fleet{520, 76}, fleet{600, 90}, fleet{1200, 195}, fleet{1200, 300}}) {
        const auto options = gate_options{.connection_limit = limit, .instances = instances};
        const auto most = most_in_flight(options);
        for (auto in_flight = 0U; in_flight <= most; ++in_flight) {
            EXPECT_LE(instances * (in_flight + idle_connections(options, in_flight)), limit) << instances;
        }
        EXPECT_GE(idle_connections(options, 0), 1U);
    }
}

TEST(connection_share, without_a_limit_idle_connections_are_bounded) {
    EXPECT_EQ(idle_connections({}, 100), 8U);
}

} // namespace teaselcross::test
