#pragma once

// A copy of the objects of one kind, merged from answers that may be older than the copy.
//
// The store numbers its changes with one revision. Watches, lists, relays and peers report the state at some
// revision, and their answers arrive in any order. An object that is missing from a list is absent at the
// list's revision, which says nothing about a version that was created later. The copy therefore keeps, for
// each removed object, a revision at which it was absent, and knows up to which revision it is complete.

#include "replication/store_object.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace teaselcross {

/// Objects by key with their versions.
using object_versions = std::map<std::string, store_revision>;

/// The copy of one kind of objects. Not thread safe.
struct object_replica {
    /// An object with the number of its latest change on this instance.
    struct entry {
        store_object object;
        std::uint64_t change_number = 0;
    };

    std::size_t max_removals = 500;  ///< Removals kept for followers.
    std::size_t max_past_values = 0; ///< Earlier values kept to compute differences.

    /// Live objects, and removed ones for as long as they are kept.
    std::map<std::string, entry> entries;
    std::deque<entry> recent_removals; ///< Removals still sent to followers, oldest first; only the keys.
    std::deque<entry> past_values;     ///< Earlier values, oldest first.
    /// All changes of the store up to this revision are contained.
    store_revision complete_to;
    store_revision newest_heard;            ///< The highest revision that any answer mentioned.
    std::uint64_t change_number = 0;        ///< Number of the latest change.
    std::uint64_t last_dropped_removal = 0; ///< Number of the latest removal that has been discarded.
    /// Hash over the keys and versions of all live objects; equal on copies with the same content.
    std::uint64_t digest = 0;
};

/// How an object relates to the copy.
enum class merge_result {
    applied,       ///< It is newer than the copy.
    already_known, ///< The copy has this version or a newer one.
    removed_later, ///< It was live, and the copy knows that this version was removed.
};

/// Returns what merge_object() would do with an object of this key, version and state.
auto compare_object(const object_replica& replica, const store_object& object) -> merge_result;

/// Applies one object, live or removed, if it is newer than the copy.
auto merge_object(object_replica& replica, const store_object& object) -> merge_result;

/// A part of a list: all live objects at @a revision with keys after @a after_key, up to and including @a
/// last_key. The last page has no last key.
struct object_page {
    store_revision revision;
    std::string after_key;
    std::string last_key;
    std::vector<store_object> objects; ///< They may be newer than the revision, or removed after it.
};

/// Applies a list that was read in one or more @a pages, in order. An object that a page lacks is removed
/// only if its version is not newer than the page. A page that is older than the copy removes nothing.
/// Returns the changes, in the order in which they were applied.
auto merge_list(object_replica& replica, const std::vector<object_page>& pages) -> std::vector<store_object>;

/// Records that an answer mentioned @a revision.
auto hear_revision(object_replica& replica, const store_revision& revision) -> void;

/// Records that all changes up to @a revision are contained.
auto set_complete_to(object_replica& replica, const store_revision& revision) -> void;

/// Whether an answer mentioned a revision up to which the copy is not complete.
auto is_behind(const object_replica& replica) -> bool;

/// The versions of all live objects.
auto live_versions(const object_replica& replica) -> object_versions;

/// What an instance that follows another one has to apply.
struct replica_changes {
    bool is_whole = false; ///< The complete list, to be merged as a list of revision complete_to.
    store_revision complete_to;
    std::uint64_t change_number = 0;
    std::uint64_t digest = 0;
    std::vector<const object_replica::entry*> entries; ///< Valid until the replica changes.
};

/// The changes after change number @a known of this copy, or the complete list if there is no such number or
/// removals since then have been discarded. A copy that has merged the changes is complete only if its digest
/// is then the same: it may hold an object that this copy missed, as a list does not report what was created
/// and removed before it.
auto changes_since(const object_replica& replica, std::optional<std::uint64_t> known) -> replica_changes;

/// An answer to the comparison of two copies: what an instance with other versions has to apply.
struct replica_comparison {
    store_revision complete_to;
    std::vector<store_object> differing; ///< Live objects with other versions, and removals.
    std::vector<std::string> same;       ///< Keys with the same version.
};

/// Compares the copy with the live @a versions of another one.
auto compare_replicas(const object_replica& replica, const object_versions& versions) -> replica_comparison;

/// The objects to merge after a comparison with another copy: those that differ, and removals of those that
/// the other copy lacks although it is complete up to their version. This includes objects that were added
/// here after the comparison was asked for.
auto objects_to_merge(const object_replica& replica, const replica_comparison& answer)
    -> std::vector<store_object>;

} // namespace teaselcross
