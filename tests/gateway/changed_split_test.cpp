// Splits of a rule among services while versions of the configuration follow one another: each request goes
// where the version in force sends it.

#include "support/router_world.h"

#include <gtest/gtest.h>

namespace teaselcross {
namespace {

using services = std::vector<weighted_service>;

class changed_split_test : public testing::Test, protected router_world {
protected:
    auto put_split(const services& split) -> void {
        auto table = *m_cluster.routes();
        ++table.version;
        table.rules_by_host["a"].front().services = split;
        for (const auto& each : split) {
            table.services[each.service] = {};
        }
        m_cluster.set_routes(std::move(table));
    }
    auto list_target_of(const std::string& service, const scripted_target& target) -> void {
        m_cluster.put_target({.id = target_id{service},
                              .service = service_id{service},
                              .host = "127.0.0.1",
                              .port = target.port(),
                              .slots = 4,
                              .start_time_ms = 1},
                             {.number = 1}, monotonic_now());
    }
    auto ask_often(int requests) -> void {
        for (auto number = 0; number < requests; ++number) {
            EXPECT_EQ(ask("safe", std::to_string(m_asked++)).result_int(), 200U);
        }
    }
    static auto answer(const scripted_request& request) -> scripted_answer {
        return {success(request.attempt_id, "x")};
    }

    int m_asked = 0;
    scripted_target m_first{m_context, answer};
    scripted_target m_second{m_context, answer};
};

// Guards against a service that goes on getting requests after its weight was set to 0.
TEST_F(changed_split_test, service_with_weight_0_gets_nothing) {
    list_target_of("first", m_first);
    list_target_of("second", m_second);
    for (const auto weight : {50U, 1000U}) {
        put_split({{.service = service_id{"first"}, .weight = weight},
                   {.service = service_id{"second"}, .weight = weight}});
        ask_often(41);
        put_split(
            {{.service = service_id{"first"}, .weight = 1}, {.service = service_id{"second"}, .weight = 0}});
        const auto before = m_second.requests();
        ask_often(40);
        EXPECT_EQ(m_second.requests(), before);
    }
}

// Guards against shares that are off because of larger weights, or another order of services, before.
TEST_F(changed_split_test, shares_hold_from_the_first_request_of_a_version) {
    list_target_of("first", m_first);
    list_target_of("second", m_second);
    put_split({{.service = service_id{"first"}, .weight = 1000},
               {.service = service_id{"second"}, .weight = 1000}});
    ask_often(3);
    put_split(
        {{.service = service_id{"first"}, .weight = 1}, {.service = service_id{"second"}, .weight = 1}});
    const auto before = m_second.requests();
    ask_often(40);
    EXPECT_NEAR(static_cast<double>(m_second.requests() - before), 20, 1);
    put_split({{.service = service_id{"second"}, .weight = 1},
               {.service = service_id{"none"}, .weight = 0},
               {.service = service_id{"first"}, .weight = 3}});
    const auto later = m_second.requests();
    ask_often(40);
    EXPECT_NEAR(static_cast<double>(m_second.requests() - later), 10, 1);
}

} // namespace
} // namespace teaselcross
