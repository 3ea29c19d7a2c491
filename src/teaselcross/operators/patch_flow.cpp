#include "operators/patch_flow.h"

#include "logging/log.h"
#include "ownership/object_keys.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

struct read_configuration {
    configuration whole;
    std::uint64_t object_version = 0; ///< 0 when there is no configuration yet.
};

auto read_current(const store_caller& store)
    -> asio::awaitable<tl::expected<read_configuration, store_status>> {
    auto call = store_call{};
    call.key = object_keys::configuration;
    const auto reply = co_await store(call);
    if (reply.status == store_status::missing) {
        co_return read_configuration{
            .whole = {.version = 0, .document = nlohmann::json::object(), .recent = {}}};
    }
    if (reply.status != store_status::ok) {
        co_return tl::unexpected(reply.status);
    }
    co_return read_configuration{
        .whole = configuration_from_json(nlohmann::json::parse(reply.objects.front().value)),
        .object_version = reply.version};
}

/// Writes the audit entries that the configuration remembers and the trail may lack. The first attempt at an
/// entry may have died with its instance, so the next patch writes it.
auto write_history(const store_caller& store, const configuration& whole, std::size_t last)
    -> asio::awaitable<void> {
    const auto count = std::min(last, whole.recent.size());
    for (auto index = whole.recent.size() - count; index < whole.recent.size(); ++index) {
        const auto& record = whole.recent[index];
        auto call = store_call{};
        call.kind = store_call_kind::create;
        call.key = object_keys::history(record.version);
        call.value = to_json(record).dump();
        co_await store(call);
    }
}

auto log_refusal(const patch& change, const std::string& why) -> void {
    log::warning("patch_refused",
                 {{"id", change.id}, {"base", change.base}, {"who", change.who}, {"why", why}});
}

} // namespace

auto submit_patch(const store_caller& store, patch change) -> asio::awaitable<patch_result> {
    constexpr auto tries = 5;
    auto undecided = patch_undecided{};
    for (auto attempt = 0; attempt < tries; ++attempt) {
        const auto current = co_await read_current(store);
        if (!current) {
            undecided.status = current.error();
            continue;
        }
        const auto next = apply_patch(current->whole, change);
        if (!next) {
            log_refusal(change, std::visit(
                                    [](const auto& refused) -> std::string {
                                        using kind = std::decay_t<decltype(refused)>;
                                        if constexpr (std::is_same_v<kind, version_conflict>) {
                                            return "version_conflict";
                                        } else if constexpr (std::is_same_v<kind, already_applied>) {
                                            return "already_applied";
                                        } else {
                                            return "faults";
                                        }
                                    },
                                    next.error()));
            co_return std::visit([](const auto& refused) -> patch_result { return tl::unexpected(refused); },
                                 next.error());
        }
        co_await write_history(store, current->whole, 1);
        auto call = store_call{};
        call.kind = current->object_version == 0 ? store_call_kind::create : store_call_kind::update;
        call.key = object_keys::configuration;
        call.value = to_json(*next).dump();
        call.expected_version = current->object_version;
        const auto reply = co_await store(call);
        if (reply.status == store_status::ok) {
            log::info("patch_accepted", {{"id", change.id},
                                         {"version", next->version},
                                         {"who", change.who},
                                         {"why", change.why},
                                         {"changes", change.changes.dump()}});
            co_await write_history(store, *next, 1);
            co_return next->version;
        }
        // A conflict or a lost reply: the next read tells whether the patch took effect, by its ID.
        undecided.status = reply.status;
        if (reply.status == store_status::unknown) {
            const auto after = co_await read_current(store);
            if (after) {
                if (const auto version = applied_version(after->whole, change.id)) {
                    co_return *version;
                }
            }
        }
    }
    log_refusal(change, "undecided");
    co_return tl::unexpected(undecided);
}

auto read_history(const store_caller& store) -> asio::awaitable<std::optional<std::vector<nlohmann::json>>> {
    auto call = store_call{};
    call.kind = store_call_kind::list;
    call.key = object_keys::history_prefix;
    const auto reply = co_await store(call);
    if (reply.status != store_status::ok) {
        co_return std::nullopt;
    }
    auto entries = std::vector<nlohmann::json>{};
    for (const auto& object : reply.objects) {
        auto entry = nlohmann::json::parse(object.value, nullptr, false);
        if (!entry.is_discarded()) {
            entries.push_back(std::move(entry));
        }
    }
    std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
        return a.value("version", std::uint64_t{0}) < b.value("version", std::uint64_t{0});
    });
    co_return entries;
}

} // namespace teaselcross
