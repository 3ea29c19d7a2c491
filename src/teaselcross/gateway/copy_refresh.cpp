#include "gateway/copy_refresh.h"

#include "logging/log.h"
#include "runtime/clock.h"

#include <algorithm>
#include <utility>

namespace teaselcross {

namespace {

/// Interval of the checks whether this instance agrees with the controller.
constexpr auto compare_interval = duration{std::chrono::milliseconds{100}};
/// How long the controller's last digests count as current: two report intervals.
constexpr auto confirmation_validity = duration{std::chrono::milliseconds{850}};
/// Changes reach instances at different times; a difference that lasts longer indicates a hanging watch.
constexpr auto disagreement_tolerance = duration{std::chrono::milliseconds{300}};

} // namespace

auto copy_refresh::matches_controller(const store_follower& kind) const -> bool {
    const auto& copies = m_controller.last_confirmation().copies;
    const auto found = copies.find(kind.kind());
    return found != copies.end() && found->second.digest == kind.state().digest;
}

auto copy_refresh::is_unconfirmed(const store_follower& kind) const -> bool {
    constexpr auto part_of_bound = 0.75; // The rest is for asking others.
    const auto bound = std::min(m_settings.config_apply, m_settings.drain);
    const auto is_slow = kind.refresh_interval() > bound; // Nothing depends on it at once.
    return !is_slow && kind.listed() &&
           kind.state().age >= std::chrono::duration_cast<duration>(bound * part_of_bound);
}

auto copy_refresh::may_read_store() const -> bool {
    constexpr auto max_readers = std::ptrdiff_t{3};
    const auto& instances = m_cluster.instances();
    const auto own = std::find_if(instances.begin(), instances.end(),
                                  [this](const auto& each) { return each.name == m_settings.instance; });
    const auto ranking = instance_ranking{"relay"};
    return own != instances.end() && std::count_if(instances.begin(), instances.end(), [&](const auto& each) {
                                         return each.data_centre == own->data_centre && ranking(each, *own);
                                     }) < max_readers;
}

auto copy_refresh::choose_refresh_source(const store_follower& kind, instant now) const -> refresh_source {
    const auto& confirmation = m_controller.last_confirmation();
    if (kind.is_writer()) {
        return refresh_source::none;
    }
    return select_refresh_source(
        {.is_controller = m_controller.is_controller(),
         .controller_answered_recently = now - confirmation.received_at < confirmation_validity,
         .matches_controller = matches_controller(kind),
         .changed_recently = now - kind.last_change() < disagreement_tolerance,
         .is_unconfirmed = is_unconfirmed(kind),
         .follows_relay = !kind.is_direct()});
}

/// Records what the controller's last answer confirms, and logs when a copy has been unconfirmed for long and
/// when it is confirmed again.
auto copy_refresh::confirm(store_follower& kind, instant now) -> void {
    const auto& confirmation = m_controller.last_confirmation();
    if (matches_controller(kind)) {
        kind.confirm(confirmation.copies.at(kind.kind()), confirmation.asked_at);
    }
    const auto state = kind.state();
    // A change that is in no copy as old as this has not taken effect in time.
    const auto log_age = m_settings.config_apply;
    if (!kind.listed() || state.age == duration::max() || kind.refresh_interval() > log_age) {
        return;
    }
    auto& unconfirmed_since = m_unconfirmed_since[kind.kind()];
    if (state.age >= log_age && !unconfirmed_since) {
        unconfirmed_since = now - state.age;
        log::warning("copy_unconfirmed", {{"kind", kind.kind()},
                                          {"age_ms", state.age.count() / 1000},
                                          {"complete_to", to_string(state.complete_to)}});
    } else if (state.age < log_age && unconfirmed_since) {
        log::info("copy_confirmed", {{"kind", kind.kind()},
                                     {"after_ms", (now - *unconfirmed_since).count() / 1000},
                                     {"complete_to", to_string(state.complete_to)}});
        unconfirmed_since.reset();
    }
}

/// Refreshes one kind from @a source, or from the store when the source does not answer. With
/// @a is_relay_late some instances also read the store when their relay answers and does not confirm the
/// copy. Returns false when neither answered.
auto copy_refresh::refresh_kind(store_follower& kind, refresh_source source, bool is_relay_late)
    -> boost::asio::awaitable<bool> {
    auto peer = std::optional<endpoint>{};
    if (kind.listed() && source == refresh_source::controller) {
        peer = m_controller.holder_address();
    } else if (kind.listed() && source == refresh_source::relay) {
        peer = kind.relay_address();
    }
    auto refreshed = false;
    if (peer) {
        refreshed = co_await kind.compare_with(*peer);
    }
    if (!refreshed || (is_relay_late && is_unconfirmed(kind) && may_read_store())) {
        const auto result = co_await kind.refresh();
        refreshed = result != refresh_result::failed;
    }
    log::debug("knowledge_refreshed",
               {{"kind", kind.kind()}, {"asked_peer", peer.has_value()}, {"learnt", refreshed}});
    co_return refreshed;
}

/// Fetches what another instance is known to have, although the usual way has not brought it.
auto copy_refresh::fetch_later_copy(store_follower& kind) -> boost::asio::awaitable<void> {
    const auto source = m_exchange.instance_ahead(kind);
    if (!source) {
        co_return;
    }
    const auto before = kind.state();
    const auto is_fetched = co_await kind.compare_with(source->internal);
    m_exchange.on_fetched(kind, source->name);
    log::info("later_copy_fetched",
              {{"kind", kind.kind()},
               {"from", source->name},
               {"done", is_fetched},
               {"before", to_string(before.complete_to)},
               {"complete_to", to_string(kind.state().complete_to)},
               {"copy_age_ms", before.age == duration::max() ? -1 : before.age.count() / 1000}});
}

auto copy_refresh::run(store_follower& kind) -> boost::asio::awaitable<void> {
    auto next = instant{};
    auto has_asked_relay = false; ///< Since the copy differs from the controller's.
    auto confirmed_until = instant{};
    while (true) {
        co_await sleep_for(compare_interval);
        co_await fetch_later_copy(kind);
        const auto now = monotonic_now();
        confirm(kind, now);
        confirmed_until = is_unconfirmed(kind) ? confirmed_until : now;
        const auto source = choose_refresh_source(kind, now);
        if (source == refresh_source::none) {
            next = now + disagreement_tolerance;
            has_asked_relay = false;
        }
        if (now < next) {
            continue;
        }
        if (source == refresh_source::controller && !kind.is_direct() &&
            !std::exchange(has_asked_relay, true)) {
            // The relay is near and has most likely learnt of the change meanwhile.
            static_cast<void>(co_await refresh_kind(kind, refresh_source::relay, false));
            next = monotonic_now() + disagreement_tolerance;
            continue;
        }
        // A relay that is in time has refreshed its own copy when it is asked for the second time.
        const auto is_relay_late = now - confirmed_until >= 2 * disagreement_tolerance;
        const auto refreshed = co_await refresh_kind(kind, source, is_relay_late);
        next = refreshed && !is_unconfirmed(kind) ? now + kind.refresh_interval()
                                                  : monotonic_now() + disagreement_tolerance;
    }
}

} // namespace teaselcross
