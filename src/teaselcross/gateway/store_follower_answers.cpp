// What a follower answers to the instances that follow it or compare their copies with its own.

#include "gateway/store_follower.h"

#include "runtime/clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

using json = nlohmann::json;

auto store_follower::known_for(const store_object& object) const -> std::optional<duration> {
    const auto found = m_first_known.find(object.key);
    return found != m_first_known.end() && found->second.first == object.version
               ? std::optional{monotonic_now() - found->second.second}
               : std::nullopt;
}

/// @a object with its value, which the copy does not hold after a patch.
auto store_follower::with_value(const store_object& object) const -> store_object {
    if (object.removed || !object.value.empty() || !m_events.patched_object) {
        return object;
    }
    return m_events.patched_object(object.key).value_or(object);
}

/// The differences between @a entry and the version of a follower that has all changes up to number @a known.
/// Empty when that version is no longer kept.
auto store_follower::differences_since(const object_replica::entry& entry, std::uint64_t known)
    -> std::vector<const object_difference*> {
    const auto& past_values = m_replica.past_values;
    const auto past = std::find_if(past_values.rbegin(), past_values.rend(), [&](const auto& each) {
        return each.object.key == entry.object.key && each.change_number <= known;
    });
    if (m_options.difference == nullptr || past == past_values.rend()) {
        return {};
    }
    const auto from = past->object.version;
    const auto to = entry.object.version;
    auto cached = m_differences.find(from, to);
    if (!cached.empty() || past->object.value.empty()) {
        return cached;
    }
    auto text = m_options.difference(past->object.value, with_value(entry.object).value);
    if (!text) {
        return {};
    }
    m_differences.add({.from = from, .to = to, .text = std::move(*text)});
    return m_differences.find(from, to);
}

/// What a follower needs that has all changes up to number @a known: differences, or the whole value.
auto store_follower::make_relayed(const object_replica::entry& entry, std::uint64_t known)
    -> std::vector<relayed_object> {
    const auto differences =
        entry.object.removed ? std::vector<const object_difference*>{} : differences_since(entry, known);
    if (differences.empty()) {
        return {{.object = with_value(entry.object), .known_for = known_for(entry.object)}};
    }
    auto relayed = std::vector<relayed_object>{};
    for (const auto* difference : differences) {
        relayed.push_back(
            {.object = entry.object, .base = difference->from, .known_for = known_for(entry.object)});
        relayed.back().object.version = difference->to;
        relayed.back().object.value = difference->text;
    }
    return relayed;
}

auto store_follower::answer_follower(std::string body) -> boost::asio::awaitable<std::string> {
    const auto query = decode_follow_query(body);
    const auto* preferred = preferred_instance();
    if (query && !m_listed && preferred != nullptr && preferred->name == m_settings.instance) {
        co_return starting_answer();
    }
    if (!query || !m_listed || !m_direct) {
        co_return std::string{}; // Two instances could otherwise follow each other.
    }
    const auto received = monotonic_now();
    const auto same = query->epoch == m_epoch;
    if (same && query->number == m_replica.change_number) {
        co_await m_signal.wait(relay_poll_timeout);
    }
    const auto changes =
        changes_since(m_replica, same ? std::optional{query->number} : std::optional<std::uint64_t>{});
    auto answer = follow_answer{.epoch = m_epoch,
                                .number = changes.change_number,
                                .complete_to = changes.complete_to,
                                .digest = changes.digest,
                                .is_whole = changes.is_whole,
                                .age = age(),
                                .held = monotonic_now() - received,
                                .outage_grace = m_store.outage_grace()};
    for (const auto* entry : changes.entries) {
        if (changes.is_whole) {
            answer.objects.push_back({.object = with_value(entry->object)});
        } else {
            std::ranges::move(make_relayed(*entry, query->number), std::back_inserter(answer.objects));
        }
    }
    co_return encode(answer);
}

auto store_follower::answer_comparison(const json& query) const -> std::string {
    const auto versions = decode_versions(query);
    if (!m_listed || !versions) {
        return {};
    }
    auto answer = compare_answer{.comparison = compare_replicas(m_replica, *versions),
                                 .age = age(),
                                 .outage_grace = m_store.outage_grace()};
    for (auto& object : answer.comparison.differing) {
        object = with_value(object);
        if (const auto since = known_for(object)) {
            answer.known_for.emplace(object.key, *since);
        }
    }
    return encode(answer);
}

} // namespace teaselcross
