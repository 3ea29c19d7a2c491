#include "ownership/lease.h"

#include <tuple>

namespace teaselcross {

namespace {

/// How long a lease must stay unchanged before another candidate may acquire it, with drift and margin added.
auto takeover_wait(const lease_options& options) -> duration {
    return with_drift(options.term, options.drift_ppm) + options.margin;
}

auto can_acquire(const lease_candidate& state, bool eager, bool holder_gone, instant now) -> bool {
    const auto released = state.last_known && state.last_known->holder.empty() && !state.is_lost;
    const auto unused = !state.last_known && !state.is_lost;
    const auto own = state.last_known && state.last_known->holder == state.self;
    const auto ended = state.last_known && state.last_known->holder == state.ended_holder;
    const auto free = holder_gone || ended || unused || released || own;
    const auto expired_at =
        free ? state.unchanged_since : state.unchanged_since + takeover_wait(state.options);
    return now >= (eager ? expired_at : expired_at + state.options.term);
}

auto begin_write(lease_candidate& state, lease_object object, instant now) -> lease_write {
    state.write_pending = true;
    state.write_started_at = now;
    state.next_write_at = now + state.options.renewal_interval;
    return {.object = std::move(object), .expected_version = state.last_known_version};
}

} // namespace

auto to_json(const lease_object& object) -> nlohmann::json {
    auto document = nlohmann::json{
        {"holder", object.holder.value()}, {"epoch", object.epoch}, {"renewals", object.renewals}};
    if (object.era != 0) {
        document["era"] = object.era;
    }
    if (object.is_settled) {
        document["settled"] = true;
    }
    return document;
}

auto lease_object_from_json(const nlohmann::json& object) -> lease_object {
    return {.holder = instance_id{object.at("holder").get<std::string>()},
            .epoch = object.at("epoch").get<std::uint64_t>(),
            .renewals = object.at("renewals").get<std::uint64_t>(),
            .era = object.value("era", std::uint64_t{0}),
            .is_settled = object.value("settled", false)};
}

auto is_earlier(const lease_object& left, const lease_object& right) -> bool {
    return std::tie(left.era, left.epoch) < std::tie(right.era, right.epoch);
}

auto on_lease_read(lease_candidate& state, const std::optional<lease_object>& object,
                   const store_revision& version, instant now) -> void {
    const auto known_era = state.last_known ? state.last_known->era : 0;
    if (version.era < known_era) {
        return; // An answer from before the store was restored.
    }
    if (object && state.last_known && object->era == version.era && is_earlier(*object, *state.last_known)) {
        return; // An answer from before the announcement of a later holder.
    }
    const auto is_lost = (object ? object->era : known_era) < version.era && (object || state.last_known);
    if (!state.is_up_to_date || state.is_lost != is_lost || (!is_lost && state.last_known != object)) {
        state.unchanged_since = now;
    }
    state.is_up_to_date = true;
    state.is_lost = is_lost;
    state.last_known_version = version;
    if (is_lost) {
        return; // Its holder may have been followed by others.
    }
    state.last_known = object;
    if (!object || object->holder != state.self) {
        state.held_until.reset();
    }
}

auto on_lease_announced(lease_candidate& state, const lease_object& object, instant now) -> bool {
    if (state.last_known && is_earlier(object, *state.last_known)) {
        return false;
    }
    if (!state.last_known || is_earlier(*state.last_known, object)) {
        state.last_known = object;
        state.is_lost = false;
        state.is_up_to_date = false; // Its version in the store is unknown.
        state.unchanged_since = now;
        state.held_until.reset();
    }
    return true;
}

auto on_holder_called(lease_candidate& state, const instance_id& holder, bool has_refused) -> void {
    if (has_refused) {
        state.ended_holder = holder;
    } else if (state.ended_holder == holder) {
        state.ended_holder.reset();
    }
}

auto next_lease_write(lease_candidate& state, bool eager, bool holder_gone, instant now)
    -> std::optional<lease_write> {
    if (!state.is_up_to_date || state.write_pending || now < state.next_write_at) {
        return std::nullopt;
    }
    if (holds_lease(state, now)) {
        return reclaim_lease(state, now);
    }
    if (!can_acquire(state, eager, holder_gone, now)) {
        return std::nullopt;
    }
    const auto epoch = state.last_known ? state.last_known->epoch + 1 : 1;
    state.is_settled = false;
    return begin_write(
        state, {.holder = state.self, .epoch = epoch, .renewals = 0, .era = state.last_known_version.era},
        now);
}

auto reclaim_lease(lease_candidate& state, instant now) -> lease_write {
    auto renewed = *state.last_known;
    ++renewed.renewals;
    if (state.is_lost) {
        ++renewed.epoch;
        renewed.era = state.last_known_version.era;
        state.is_settled = false;
    }
    renewed.is_settled = state.is_settled;
    return begin_write(state, renewed, now);
}

auto on_lease_written(lease_candidate& state, const lease_object& object, const store_revision& version,
                      instant now) -> void {
    state.write_pending = false;
    state.is_up_to_date = true;
    state.is_lost = false;
    state.last_known = object;
    state.last_known_version = version;
    state.unchanged_since = now;
    state.held_until.reset();
    if (object.holder == state.self) {
        // The term counts from before the request was sent.
        state.held_until = state.write_started_at + state.options.term;
    }
}

auto on_lease_write_failed(lease_candidate& state, instant now) -> void {
    state.write_pending = false;
    state.is_up_to_date = false;
    state.next_write_at = now + state.options.renewal_interval;
}

auto release_lease(lease_candidate& state, instant now) -> std::optional<lease_write> {
    if (!holds_lease(state, now) || state.write_pending) {
        return std::nullopt;
    }
    auto freed = *state.last_known;
    freed.holder = {};
    ++freed.renewals;
    state.held_until.reset();
    return begin_write(state, freed, now);
}

auto holds_lease(const lease_candidate& state, instant now) -> bool {
    return state.held_until && now < *state.held_until;
}

} // namespace teaselcross
