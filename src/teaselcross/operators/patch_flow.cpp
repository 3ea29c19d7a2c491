#include "operators/patch_flow.h"

#include "logging/log.h"
#include "ownership/object_keys.h"

#include <algorithm>

namespace teaselcross {

namespace asio = boost::asio;

namespace {

struct stored_configuration {
    configuration config;
    store_revision object_version; ///< Number 0 when no configuration is stored yet.
};

auto read_current(const store_caller& store)
    -> asio::awaitable<tl::expected<stored_configuration, store_status>> {
    auto call = store_call{};
    call.key = object_keys::configuration;
    const auto reply = co_await store(call);
    if (reply.status == store_status::missing) {
        co_return stored_configuration{
            .config = {.version = 0, .document = nlohmann::json::object(), .recent = {}}};
    }
    if (reply.status != store_status::ok) {
        co_return tl::unexpected(reply.status);
    }
    co_return stored_configuration{
        .config = configuration_from_json(nlohmann::json::parse(reply.objects.front().value)),
        .object_version = reply.version};
}

/// Writes the latest @a max_entries audit entries that are kept in the configuration to the audit trail. An
/// instance may have crashed after updating the configuration and before writing the entry, so the next patch
/// writes it again.
auto write_history(const store_caller& store, const configuration& config, std::size_t max_entries)
    -> asio::awaitable<void> {
    const auto count = std::min(max_entries, config.recent.size());
    for (auto index = config.recent.size() - count; index < config.recent.size(); ++index) {
        const auto& record = config.recent[index];
        auto call = store_call{};
        call.kind = store_call_kind::create;
        call.key = object_keys::history(record.version);
        call.value = to_json(record).dump();
        co_await store(call);
    }
}

auto log_rejection(const patch& change, const std::string& why) -> void {
    log::warning("patch_refused",
                 {{"id", change.id}, {"base", change.base}, {"who", change.who}, {"why", why}});
}

} // namespace

auto submit_patch(const store_caller& store, patch change) -> asio::awaitable<patch_result> {
    constexpr auto max_attempts = 5;
    auto outcome_unknown = patch_outcome_unknown{};
    for (auto attempt = 0; attempt < max_attempts; ++attempt) {
        const auto current = co_await read_current(store);
        if (!current) {
            outcome_unknown.status = current.error();
            continue;
        }
        const auto next = apply_patch(current->config, change);
        if (!next) {
            log_rejection(change, std::visit(
                                      [](const auto& rejection) -> std::string {
                                          using kind = std::decay_t<decltype(rejection)>;
                                          if constexpr (std::is_same_v<kind, version_conflict>) {
                                              return "version_conflict";
                                          } else if constexpr (std::is_same_v<kind, already_applied>) {
                                              return "already_applied";
                                          } else {
                                              return "faults";
                                          }
                                      },
                                      next.error()));
            co_return std::visit(
                [](const auto& rejection) -> patch_result { return tl::unexpected(rejection); },
                next.error());
        }
        co_await write_history(store, current->config, 1);
        auto call = store_call{};
        call.kind = current->object_version.number == 0 ? store_call_kind::create : store_call_kind::update;
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
        // A conflict or a lost reply: the next read shows by the patch ID whether the patch was applied.
        outcome_unknown.status = reply.status;
        if (reply.status == store_status::unknown) {
            const auto reread = co_await read_current(store);
            if (reread) {
                if (const auto version = applied_version(reread->config, change.id)) {
                    co_return *version;
                }
            }
        }
    }
    log_rejection(change, "undecided");
    co_return tl::unexpected(outcome_unknown);
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
