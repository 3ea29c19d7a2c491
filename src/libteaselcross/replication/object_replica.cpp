#include "replication/object_replica.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto digest_of(const store_object& object) -> std::uint64_t {
    return rendezvous_weight(encode_revision(object.version), object.key);
}

auto keep_past_value(object_replica& replica, object_replica::entry past) -> void {
    if (replica.max_past_values == 0) {
        return;
    }
    replica.past_values.push_back(std::move(past));
    if (replica.past_values.size() > replica.max_past_values) {
        replica.past_values.pop_front();
    }
}

/// Discards the oldest removals. Those newer than complete_to are kept, because only they tell that an older
/// version of the object is out of date.
auto trim_removals(object_replica& replica) -> void {
    while (replica.recent_removals.size() > replica.max_removals) {
        const auto& oldest = replica.recent_removals.front();
        const auto found = replica.entries.find(oldest.object.key);
        const auto is_latest =
            found != replica.entries.end() && found->second.change_number == oldest.change_number;
        if (is_latest && found->second.object.version > replica.complete_to) {
            return;
        }
        if (is_latest) {
            replica.entries.erase(found);
        }
        replica.last_dropped_removal = oldest.change_number;
        replica.recent_removals.pop_front();
    }
}

auto record_change(object_replica& replica, const store_object& object) -> void {
    auto& known = replica.entries[object.key];
    if (known.change_number > 0 && !known.object.removed) {
        replica.digest ^= digest_of(known.object);
        keep_past_value(replica, std::move(known));
    }
    known = {.object = object, .change_number = ++replica.change_number};
    if (object.removed) {
        known.object.value.clear();
        replica.recent_removals.push_back(
            {.object = {.key = object.key}, .change_number = replica.change_number});
        trim_removals(replica);
    } else {
        replica.digest ^= digest_of(object);
    }
}

/// Keys of live objects that @a page lacks although it covers their versions.
auto keys_missing_from(const object_replica& replica, const object_page& page) -> std::vector<std::string> {
    auto missing = live_versions(replica);
    std::erase_if(missing, [&page](const auto& entry) {
        const auto is_within =
            entry.first > page.after_key && (page.last_key.empty() || entry.first <= page.last_key);
        return !is_within || entry.second > page.revision;
    });
    for (const auto& object : page.objects) {
        missing.erase(object.key);
    }
    auto keys = std::vector<std::string>{};
    for (const auto& [key, version] : missing) {
        keys.push_back(key);
    }
    return keys;
}

/// Whether the removal of an object is out of date, because a list of the same revision or a later one
/// contains the object.
auto is_contradicted(const object_replica& replica, const store_object& object,
                     const store_revision& revision) -> bool {
    const auto found = replica.entries.find(object.key);
    return found == replica.entries.end() ||
           (found->second.object.removed && found->second.object.version <= revision);
}

/// Applies @a page to a copy that was complete up to @a complete_to before the list.
auto merge_page(object_replica& replica, const object_page& page, const store_revision& complete_to,
                std::vector<store_object>& changes) -> void {
    const auto apply = [&](const store_object& object) {
        record_change(replica, object);
        changes.push_back(object);
    };
    hear_revision(replica, page.revision);
    const auto is_current = page.revision >= complete_to;
    if (is_current) {
        for (auto& key : keys_missing_from(replica, page)) {
            apply({.key = std::move(key), .version = page.revision, .removed = true});
        }
    }
    for (const auto& object : page.objects) {
        hear_revision(replica, object.version);
        const auto result = compare_object(replica, object);
        if (result == merge_result::applied || (result == merge_result::removed_later && is_current &&
                                                is_contradicted(replica, object, page.revision))) {
            apply(object);
        } else if (result == merge_result::already_known && !object.removed) {
            auto& known = replica.entries.at(object.key).object;
            if (known.version == object.version) {
                known.value = object.value; // Differences leave only the version.
            }
        }
    }
}

} // namespace

auto compare_object(const object_replica& replica, const store_object& object) -> merge_result {
    const auto found = replica.entries.find(object.key);
    if (found != replica.entries.end() && !found->second.object.removed) {
        const auto known = found->second.object.version;
        const auto is_newer = object.version > known || (object.removed && object.version == known);
        return is_newer ? merge_result::applied : merge_result::already_known;
    }
    // An object that a complete copy does not contain is absent at the revision up to which it is complete.
    const auto recorded = found == replica.entries.end() ? store_revision{} : found->second.object.version;
    if (object.version > std::max(recorded, replica.complete_to)) {
        return merge_result::applied;
    }
    return object.removed ? merge_result::already_known : merge_result::removed_later;
}

auto merge_object(object_replica& replica, const store_object& object) -> merge_result {
    hear_revision(replica, object.version);
    const auto result = compare_object(replica, object);
    if (result == merge_result::applied) {
        record_change(replica, object);
    }
    return result;
}

auto merge_list(object_replica& replica, const std::vector<object_page>& pages) -> std::vector<store_object> {
    auto changes = std::vector<store_object>{};
    const auto complete_to = replica.complete_to;
    for (const auto& page : pages) {
        merge_page(replica, page, complete_to, changes);
    }
    if (!pages.empty()) {
        set_complete_to(replica, pages.front().revision);
    }
    return changes;
}

auto hear_revision(object_replica& replica, const store_revision& revision) -> void {
    replica.newest_heard = std::max(replica.newest_heard, revision);
}

auto set_complete_to(object_replica& replica, const store_revision& revision) -> void {
    replica.complete_to = std::max(replica.complete_to, revision);
    hear_revision(replica, revision);
    trim_removals(replica);
}

auto is_behind(const object_replica& replica) -> bool {
    return replica.newest_heard > replica.complete_to;
}

auto live_versions(const object_replica& replica) -> object_versions {
    auto versions = object_versions{};
    for (const auto& [key, entry] : replica.entries) {
        if (!entry.object.removed) {
            versions.emplace(key, entry.object.version);
        }
    }
    return versions;
}

auto changes_since(const object_replica& replica, std::optional<std::uint64_t> known) -> replica_changes {
    auto changes = replica_changes{.is_whole = !known || *known < replica.last_dropped_removal,
                                   .complete_to = replica.complete_to,
                                   .change_number = replica.change_number,
                                   .digest = replica.digest};
    for (const auto& [key, entry] : replica.entries) {
        // A complete list needs only those removals that it does not imply.
        const auto is_implied = entry.object.removed && entry.object.version <= replica.complete_to;
        if (changes.is_whole ? !is_implied : entry.change_number > *known) {
            changes.entries.push_back(&entry);
        }
    }
    return changes;
}

auto compare_replicas(const object_replica& replica, const object_versions& versions) -> replica_comparison {
    auto result = replica_comparison{.complete_to = replica.complete_to};
    for (const auto& [key, entry] : replica.entries) {
        const auto& object = entry.object;
        const auto other = versions.find(key);
        const auto is_known = other != versions.end();
        if (object.removed) {
            // The other copy derives older removals from what is missing here.
            if (object.version > replica.complete_to || (is_known && other->second <= object.version)) {
                result.differing.push_back(object);
            }
        } else if (is_known && other->second == object.version) {
            result.same.push_back(key);
        } else {
            result.differing.push_back(object);
        }
    }
    return result;
}

auto objects_to_merge(const object_replica& replica, const replica_comparison& answer)
    -> std::vector<store_object> {
    auto absent = live_versions(replica);
    for (const auto& key : answer.same) {
        absent.erase(key);
    }
    for (const auto& object : answer.differing) {
        // A removal up to the complete revision says that the object is absent at that revision as well.
        if (!object.removed || object.version > answer.complete_to) {
            absent.erase(object.key);
        }
    }
    auto objects = answer.differing;
    for (const auto& [key, version] : absent) {
        // A newer version is a change that the other copy has not received yet.
        if (version <= answer.complete_to) {
            objects.push_back({.key = key, .version = answer.complete_to, .removed = true});
        }
    }
    return objects;
}

} // namespace teaselcross
