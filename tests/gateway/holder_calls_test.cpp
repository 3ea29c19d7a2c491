// Calls to targets whose process does not read: what was sent to it waits in its sockets, also after the
// caller has aborted it.

#include "gateway/holder_calls.h"
#include "ownership/holder_probe.h"
#include "platform/names.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <cstring>

namespace teaselcross {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto call_timeout = duration{milliseconds{200}};

/// A target that reads nothing for a while, and then what has come meanwhile.
class suspended_peer {
public:
    suspended_peer(asio::io_context& context, duration suspended)
        : m_context{context},
          m_acceptor{context, {asio::ip::address_v4::loopback(), 0}}, m_resumes{monotonic_now() + suspended} {
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    auto address() const -> endpoint {
        return {.host = "127.0.0.1", .port = m_acceptor.local_endpoint().port()};
    }
    auto has_read(const std::string& path) const -> bool { return m_read.find(path) != std::string::npos; }
    /// Where the first call to @a path begins in what was read.
    auto position_of(const std::string& path) const -> std::size_t { return m_read.find(path); }
    auto stop() -> void { m_acceptor.close(); }

private:
    auto accept() -> asio::awaitable<void> {
        while (true) {
            auto [error, socket] = co_await m_acceptor.async_accept(as_result);
            if (error) {
                co_return;
            }
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    auto serve(asio::ip::tcp::socket socket) -> asio::awaitable<void> {
        auto timer = asio::steady_timer{m_context, m_resumes - monotonic_now()};
        static_cast<void>(co_await timer.async_wait(as_result));
        auto part = std::array<char, 4096>{};
        while (true) {
            const auto [error, size] = co_await socket.async_read_some(asio::buffer(part), as_result);
            if (error) {
                co_return;
            }
            const auto text = std::string{part.data(), size};
            m_read += text;
            auto answer = std::string{};
            for (auto at = text.find("POST "); at != std::string::npos; at = text.find("POST ", at + 1)) {
                const auto is_release = text.compare(at + 5, std::strlen(platform::names::release_path),
                                                     platform::names::release_path) == 0;
                answer += "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" +
                          (is_release ? std::string{platform::names::handover} + ": token\r\n\r\n" : "\r\n");
            }
            const auto [write_error, written] =
                co_await asio::async_write(socket, asio::buffer(answer), as_result);
            if (write_error) {
                co_return;
            }
        }
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    instant m_resumes;
    std::string m_read;
};

class holder_calls_test : public testing::Test {
protected:
    /// Grants keys to a target that reads nothing for @a suspended, and waits until it has read everything.
    auto grant(duration suspended, bool is_probed) -> holder_answer {
        m_peer = std::make_unique<suspended_peer>(m_context, suspended);
        const auto order = holder_command{.to = {.id = target_id{"a"}},
                                          .first = 0,
                                          .last = 99,
                                          .fence = 3,
                                          .term = std::chrono::milliseconds{2600}};
        auto map = key_map{};
        map.ranges = {{.first = 0, .last = 99, .fence = 3, .holder = order.to},
                      {.first = 100, .last = last_shard_key, .fence = 2, .holder = {.id = target_id{"b"}}}};
        auto call = holder_call{.address = m_peer->address(),
                                .order = order,
                                .probe = is_probed ? std::optional{make_probe(map, order)} : std::nullopt,
                                .timeout = call_timeout,
                                .may_begin = [] { return true; }};
        auto given = holder_answer{};
        asio::co_spawn(
            m_context,
            [&]() -> asio::awaitable<void> {
                given = co_await call_holder(m_pool, std::move(call));
                auto timer = asio::steady_timer{m_context, suspended + milliseconds{100}};
                static_cast<void>(co_await timer.async_wait(as_result));
                m_peer->stop();
                m_context.stop();
            },
            asio::detached);
        m_context.run();
        return given;
    }

    asio::io_context m_context;
    connection_pool m_pool{m_context.get_executor(), {.reset_on_close = true}};
    std::unique_ptr<suspended_peer> m_peer;
};

// Guards against a second owner when a target that was suspended takes a grant that has waited in its sockets
// since before it was aborted.
TEST_F(holder_calls_test, no_grant_waits_in_the_sockets_of_a_suspended_target) {
    const auto answer = grant(call_timeout * 3, true);
    EXPECT_EQ(answer.result, command_result::not_sent);
    EXPECT_FALSE(m_peer->has_read(platform::names::grant_path));
}

TEST_F(holder_calls_test, grant_is_sent_to_a_target_that_answers_the_probe) {
    const auto answer = grant(duration::zero(), true);
    EXPECT_EQ(answer.result, command_result::done);
    EXPECT_TRUE(m_peer->has_read(platform::names::release_path));
    EXPECT_TRUE(m_peer->has_read(platform::names::grant_path));
}

TEST_F(holder_calls_test, grant_without_a_probe_waits_in_the_sockets) {
    const auto answer = grant(call_timeout * 3, false);
    EXPECT_EQ(answer.result, command_result::unanswered);
    EXPECT_TRUE(m_peer->has_read(platform::names::grant_path));
}

/// Reads one call, answers it as a grant, and reads nothing more. A copy of the answer comes a little later.
auto answer_twice(asio::ip::tcp::acceptor& acceptor) -> asio::awaitable<void> {
    auto [error, socket] = co_await acceptor.async_accept(as_result);
    auto part = std::array<char, 4096>{};
    static_cast<void>(co_await socket.async_read_some(asio::buffer(part), as_result));
    const auto answer = std::string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    static_cast<void>(co_await asio::async_write(socket, asio::buffer(answer), as_result));
    auto timer = asio::steady_timer{socket.get_executor(), milliseconds{50}};
    static_cast<void>(co_await timer.async_wait(as_result));
    static_cast<void>(co_await asio::async_write(socket, asio::buffer(answer), as_result));
    timer.expires_after(call_timeout * 3);
    static_cast<void>(co_await timer.async_wait(as_result));
}

// Guards against a grant to a target that does not read: a late copy of the answer to an earlier grant was
// taken for the answer to the probe.
TEST(holder_calls, late_copy_of_the_answer_to_a_grant_does_not_answer_a_probe) {
    auto context = asio::io_context{};
    auto pool = connection_pool{context.get_executor(), {.reset_on_close = true}};
    auto acceptor = asio::ip::tcp::acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    asio::co_spawn(context, answer_twice(acceptor), asio::detached);
    auto call = holder_call{.address = {.host = "127.0.0.1", .port = acceptor.local_endpoint().port()},
                            .order = {.to = {.id = target_id{"a"}}, .last = 99, .fence = 3},
                            .timeout = call_timeout,
                            .may_begin = [] { return true; }};
    auto given = holder_answer{};
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            given = co_await call_holder(pool, call);
            EXPECT_EQ(given.result, command_result::done);
            call.probe = holder_command{
                .kind = command_kind::release, .to = call.order.to, .first = 100, .last = 100, .fence = 2};
            given = co_await call_holder(pool, call);
        },
        asio::detached);
    context.run();
    EXPECT_EQ(given.result, command_result::not_sent);
}

// Guards against a grant that counts as taken while it waits in the sockets of a target that does not read: a
// late copy of the answer to the probe, which has no handover token if the target holds no key of it, was
// taken for the answer to the grant.
TEST(holder_calls, late_copy_of_the_answer_to_a_probe_does_not_answer_the_grant) {
    auto context = asio::io_context{};
    auto pool = connection_pool{context.get_executor(), {.reset_on_close = true}};
    auto acceptor = asio::ip::tcp::acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    asio::co_spawn(context, answer_twice(acceptor), asio::detached);
    auto call = holder_call{.address = {.host = "127.0.0.1", .port = acceptor.local_endpoint().port()},
                            .order = {.to = {.id = target_id{"a"}}, .last = 99, .fence = 3},
                            .probe = holder_command{.kind = command_kind::release,
                                                    .to = {.id = target_id{"a"}},
                                                    .first = 100,
                                                    .last = 100,
                                                    .fence = 2},
                            .timeout = call_timeout,
                            .may_begin = [] { return true; }};
    auto given = holder_answer{};
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { given = co_await call_holder(pool, std::move(call)); },
        asio::detached);
    context.run();
    EXPECT_NE(given.result, command_result::done);
}

// Guards against calls of a controller whose right to send orders has ended: a target that got the key
// meanwhile could be asked to release it.
TEST(holder_calls, no_probe_is_sent_without_the_right_to_send_orders) {
    auto context = asio::io_context{};
    auto pool = connection_pool{context.get_executor(), {.reset_on_close = true}};
    auto peer = suspended_peer{context, duration::zero()};
    auto call = holder_call{
        .address = peer.address(),
        .order = {.to = {.id = target_id{"a"}}, .last = 99, .fence = 3},
        .probe = holder_command{.kind = command_kind::release, .to = {.id = target_id{"a"}}, .fence = 2},
        .timeout = call_timeout,
        .may_begin = [] { return false; }};
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            const auto given = co_await call_holder(pool, std::move(call));
            EXPECT_EQ(given.result, command_result::not_sent);
            peer.stop();
            context.stop();
        },
        asio::detached);
    context.run();
    EXPECT_FALSE(peer.has_read(platform::names::release_path));
}

// Guards against a second owner when a target takes a grant after the time limit of the call: its answer was
// thrown away, and with it the knowledge that the target holds the keys.
TEST_F(holder_calls_test, answer_after_the_time_limit_is_read) {
    auto given = holder_answer{};
    auto result = std::optional<command_result>{};
    m_peer = std::make_unique<suspended_peer>(m_context, call_timeout * 3);
    auto call = holder_call{.address = m_peer->address(),
                            .order = {.to = {.id = target_id{"a"}}, .last = 99, .fence = 3},
                            .timeout = call_timeout,
                            .may_begin = [] { return true; },
                            .reading_limit = call_timeout * 10};
    asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
            given = co_await call_holder(m_pool, std::move(call));
            if (given.overdue) {
                co_await given.overdue->wait(monotonic_now() + call_timeout * 5);
                result = given.overdue->has_ended() ? std::optional{given.overdue->result()} : std::nullopt;
                given.overdue->release_to(m_pool);
            }
            m_peer->stop();
            m_context.stop();
        },
        asio::detached);
    m_context.run();
    EXPECT_EQ(given.result, command_result::overdue);
    EXPECT_EQ(result, command_result::done);
}

// Guards against a second owner when a release overtakes a grant that waits in another connection.
TEST_F(holder_calls_test, release_behind_an_overdue_grant_is_read_after_it) {
    auto answer = std::optional<release_answer>{};
    m_peer = std::make_unique<suspended_peer>(m_context, call_timeout * 3);
    auto call = holder_call{.address = m_peer->address(),
                            .order = {.to = {.id = target_id{"a"}}, .last = 99, .fence = 3},
                            .timeout = call_timeout,
                            .may_begin = [] { return true; },
                            .reading_limit = call_timeout * 10};
    auto release = call.order;
    release.kind = command_kind::release;
    asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
            auto given = co_await call_holder(m_pool, std::move(call));
            if (given.overdue) {
                co_await grant_exchange::send_behind(given.overdue, release, call_timeout);
                co_await given.overdue->wait(monotonic_now() + call_timeout * 5);
                answer = co_await given.overdue->read_release(call_timeout);
                given.overdue->release_to(m_pool);
            }
            m_peer->stop();
            m_context.stop();
        },
        asio::detached);
    m_context.run();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result, command_result::done);
    EXPECT_EQ(answer->handover, "token");
    EXPECT_LT(m_peer->position_of(platform::names::grant_path),
              m_peer->position_of(platform::names::release_path));
}

TEST(holder_probe, names_keys_of_another_holder_only) {
    const auto a = target_incarnation{.id = target_id{"a"}};
    const auto b = target_incarnation{.id = target_id{"b"}};
    auto map = key_map{};
    map.ranges = {{.first = 0, .last = 99, .fence = 3, .holder = a},
                  {.first = 100, .last = 199, .fence = 4, .holder = b, .next_fence = 7, .next = a},
                  {.first = 200, .last = 299, .fence = 5, .holder = b}};
    const auto probe = make_probe(map, {.to = a});
    EXPECT_EQ(probe.kind, command_kind::release);
    EXPECT_EQ(probe.to, a);
    EXPECT_EQ(probe.first, 200U);
    EXPECT_EQ(probe.last, 200U);
    EXPECT_EQ(probe.fence, 5U);
}

// Guards against grants that wait for a target that does not read, when it has, or is about to get, all keys:
// no probe was sent to it.
TEST(holder_probe, takes_nothing_from_a_target_with_all_keys) {
    const auto a = target_incarnation{.id = target_id{"a"}};
    const auto b = target_incarnation{.id = target_id{"b"}};
    auto map = key_map{};
    map.ranges = {{.first = 0, .last = 99, .fence = 3, .holder = a},
                  {.first = 100, .last = 100, .fence = 2, .holder = a},
                  {.first = 101, .last = 199, .fence = 4, .holder = b, .next_fence = 7, .next = a}};
    const auto probe = make_probe(map, {.to = a, .fence = 3});
    EXPECT_EQ(probe.kind, command_kind::release);
    EXPECT_EQ(probe.to, a);
    EXPECT_EQ(probe.first, probe.last);
    for (const auto& range : map.ranges) {
        const auto is_concerned = range.first <= probe.first && probe.first <= range.last;
        EXPECT_TRUE(!is_concerned || probe.fence < range.fence) << range.first;
    }
}

} // namespace
} // namespace teaselcross
