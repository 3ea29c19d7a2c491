// Patches against a store that fails at each of its calls in turn, and against concurrent operators. A repeat
// under the same ID has to end with the patch applied once, and with its audit entry.

#include "operators/patch_flow.h"

#include "ownership/object_keys.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace teaselcross::test {

namespace {

namespace asio = boost::asio;

/// How a call to the store fails.
enum class store_fault { none, call_lost, reply_lost, concurrent_write };

/// A store in memory.
class fake_store {
public:
    auto caller() -> store_caller {
        return [this](store_call call) -> asio::awaitable<store_reply> { co_return answer(call); };
    }

    /// Call number @a at, counted from 0, fails.
    auto fail(std::size_t at, store_fault how) -> void {
        m_fail_at = at;
        m_fault = how;
        m_calls = 0;
    }

    auto calls() const -> std::size_t { return m_calls; }
    auto config() const -> configuration {
        return configuration_from_json(nlohmann::json::parse(m_objects.at(object_keys::configuration).value));
    }
    auto has(const std::string& key) const -> bool { return m_objects.contains(key); }

private:
    auto answer(const store_call& call) -> store_reply {
        const auto struck = m_calls++ == m_fail_at;
        const auto write = call.kind == store_call_kind::create || call.kind == store_call_kind::update;
        if (struck && m_fault == store_fault::call_lost) {
            return {.status = write ? store_status::unknown : store_status::unavailable};
        }
        if (struck && m_fault == store_fault::concurrent_write) {
            write_concurrently();
        }
        auto reply = perform(call);
        if (struck && m_fault == store_fault::reply_lost) {
            reply = {.status = write ? store_status::unknown : store_status::unavailable};
        }
        return reply;
    }

    auto perform(const store_call& call) -> store_reply {
        const auto found = m_objects.find(call.key);
        const auto exists = found != m_objects.end();
        if (call.kind == store_call_kind::get) {
            return exists ? store_reply{.status = store_status::ok,
                                        .version = found->second.version,
                                        .objects = {found->second}}
                          : store_reply{.status = store_status::missing};
        }
        const auto create = call.kind == store_call_kind::create;
        if (create ? exists : !exists || found->second.version != call.expected_version) {
            return {.status = store_status::conflict};
        }
        m_objects[call.key] = {.key = call.key, .version = {.number = ++m_version}, .value = call.value};
        return {.status = store_status::ok, .version = {.number = m_version}};
    }

    auto write_concurrently() -> void {
        if (!m_objects.contains(object_keys::configuration)) {
            return;
        }
        const auto current = config();
        const auto next = apply_patch(
            current, {.id = "racer", .base = current.version, .changes = nlohmann::json::object()});
        if (next) {
            auto& object = m_objects.at(object_keys::configuration);
            object = {.key = object.key, .version = {.number = ++m_version}, .value = to_json(*next).dump()};
        }
    }

    std::map<std::string, store_object> m_objects;
    std::uint64_t m_version = 0;
    std::size_t m_calls = 0;
    std::size_t m_fail_at = SIZE_MAX;
    store_fault m_fault = store_fault::none;
};

auto submit(fake_store& store, const patch& change) -> patch_result {
    auto context = asio::io_context{};
    auto result = patch_result{};
    const auto caller = store.caller();
    asio::co_spawn(
        context,
        [](const store_caller& calls, patch submitted, patch_result& out) -> asio::awaitable<void> {
            out = co_await submit_patch(calls, std::move(submitted));
        }(caller, change, result),
        asio::detached);
    context.run();
    return result;
}

auto first_patch() -> patch {
    return {.id = "first",
            .base = 0,
            .changes = {{"data_centres", {{"derby", nlohmann::json::object()}}},
                        {"services", nlohmann::json::object()},
                        {"targets", nlohmann::json::object()}}};
}

auto second_patch() -> patch {
    return {.id = "second", .base = 1, .changes = {{"data_centres", {{"derby", {{"state", "out"}}}}}}};
}

/// The version at which a patch took effect, whether now or before; 0 when it did not.
auto version_of(const patch_result& result) -> std::uint64_t {
    if (result) {
        return *result;
    }
    const auto* const before = std::get_if<already_applied>(&result.error());
    return before == nullptr ? 0 : before->version;
}

} // namespace

TEST(patch_flow, each_call_may_fail_and_a_repeat_applies_once) {
    for (const auto how : {store_fault::call_lost, store_fault::reply_lost}) {
        for (std::size_t at = 0; at < 8; ++at) {
            auto store = fake_store{};
            ASSERT_EQ(version_of(submit(store, first_patch())), 1U);
            store.fail(at, how);
            static_cast<void>(submit(store, second_patch()));
            EXPECT_EQ(version_of(submit(store, second_patch())), 2U) << at;
            EXPECT_EQ(store.config().version, 2U) << at;
            // The next patch writes a missing audit entry.
            static_cast<void>(submit(store, {.id = "third", .base = 2, .changes = nlohmann::json::object()}));
            EXPECT_TRUE(store.has(object_keys::history(2))) << at;
        }
    }
}

TEST(patch_flow, a_concurrent_write_at_each_call_leaves_one_winner) {
    for (std::size_t at = 0; at < 6; ++at) {
        auto store = fake_store{};
        ASSERT_EQ(version_of(submit(store, first_patch())), 1U);
        store.fail(at, store_fault::concurrent_write);
        const auto result = submit(store, second_patch());
        const auto whole = store.config();
        const auto version = version_of(result);
        if (version != 0) {
            EXPECT_EQ(applied_version(whole, "second"), version) << at;
        } else {
            EXPECT_TRUE(std::holds_alternative<version_conflict>(result.error())) << at;
            EXPECT_FALSE(applied_version(whole, "second")) << at;
        }
    }
}

TEST(patch_flow, a_store_that_never_answers_leaves_the_patch_undecided) {
    const auto silent =
        store_caller{[](store_call) -> asio::awaitable<store_reply> { co_return store_reply{}; }};
    auto context = asio::io_context{};
    auto result = patch_result{};
    asio::co_spawn(
        context,
        [](const store_caller& calls, patch_result& out) -> asio::awaitable<void> {
            out = co_await submit_patch(calls, first_patch());
        }(silent, result),
        asio::detached);
    context.run();
    ASSERT_FALSE(result);
    EXPECT_TRUE(std::holds_alternative<patch_outcome_unknown>(result.error()));
}

} // namespace teaselcross::test
