#include "ownership/lease.h"

namespace teaselcross {

namespace {

/// How long a lease must stay unchanged before another candidate may acquire it, with drift and margin added.
auto takeover_wait(const lease_options& options) -> duration {
    return with_drift(options.term, options.drift_ppm) + options.margin;
}

auto can_acquire(const lease_candidate& state, bool eager, bool holder_gone, instant now) -> bool {
    const auto free =
        holder_gone || !state.seen || state.seen->holder.empty() || state.seen->holder == state.self;
    const auto expired_at =
        free ? state.unchanged_since : state.unchanged_since + takeover_wait(state.options);
    return now >= (eager ? expired_at : expired_at + state.options.term);
}

auto begin_write(lease_candidate& state, lease_object object, instant now) -> lease_write {
    state.write_pending = true;
    state.write_started = now;
    state.next_write = now + state.options.renewal;
    return {.object = std::move(object), .expected_version = state.seen ? state.seen_version : 0};
}

} // namespace

auto to_json(const lease_object& object) -> nlohmann::json {
    return {{"holder", object.holder.value()}, {"epoch", object.epoch}, {"renewals", object.renewals}};
}

auto lease_object_from_json(const nlohmann::json& object) -> lease_object {
    return {.holder = instance_id{object.at("holder").get<std::string>()},
            .epoch = object.at("epoch").get<std::uint64_t>(),
            .renewals = object.at("renewals").get<std::uint64_t>()};
}

auto on_lease_read(lease_candidate& state, const std::optional<lease_object>& object, std::uint64_t version,
                   instant now) -> void {
    if (!state.read || state.seen != object) {
        state.unchanged_since = now;
    }
    state.read = true;
    state.seen = object;
    state.seen_version = version;
    if (!object || object->holder != state.self) {
        state.held_until.reset();
    }
}

auto next_lease_write(lease_candidate& state, bool eager, bool holder_gone, instant now)
    -> std::optional<lease_write> {
    if (!state.read || state.write_pending || now < state.next_write) {
        return std::nullopt;
    }
    if (holds_lease(state, now)) {
        auto renewed = *state.seen;
        ++renewed.renewals;
        return begin_write(state, renewed, now);
    }
    if (!can_acquire(state, eager, holder_gone, now)) {
        return std::nullopt;
    }
    const auto epoch = state.seen ? state.seen->epoch + 1 : 1;
    return begin_write(state, {.holder = state.self, .epoch = epoch, .renewals = 0}, now);
}

auto on_lease_written(lease_candidate& state, const lease_object& object, std::uint64_t version, instant now)
    -> void {
    state.write_pending = false;
    state.read = true;
    state.seen = object;
    state.seen_version = version;
    state.unchanged_since = now;
    state.held_until.reset();
    if (object.holder == state.self) {
        // The term counts from before the request was sent.
        state.held_until = state.write_started + state.options.term;
    }
}

auto on_lease_write_failed(lease_candidate& state, instant now) -> void {
    state.write_pending = false;
    state.read = false;
    state.next_write = now + state.options.renewal;
}

auto release_lease(lease_candidate& state, instant now) -> std::optional<lease_write> {
    if (!holds_lease(state, now) || state.write_pending) {
        return std::nullopt;
    }
    auto freed = *state.seen;
    freed.holder = {};
    ++freed.renewals;
    state.held_until.reset();
    return begin_write(state, freed, now);
}

auto holds_lease(const lease_candidate& state, instant now) -> bool {
    return state.held_until && now < *state.held_until;
}

} // namespace teaselcross
