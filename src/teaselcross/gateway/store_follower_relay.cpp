// Choice of the instance that a follower follows.

#include "gateway/store_follower.h"

#include "runtime/clock.h"

namespace teaselcross {

auto store_follower::is_avoided(const std::string& instance) const -> bool {
    const auto avoided = m_avoided_relays.find(instance);
    return avoided != m_avoided_relays.end() && monotonic_now() < avoided->second;
}

/// The highest ranked instance of this data centre that is not avoided; null if none is known.
auto store_follower::preferred_instance() const -> const instance_record* {
    const auto ranking = instance_ranking{"relay"};
    const instance_record* best = nullptr;
    for (const auto& each : m_cluster.instances()) {
        if (each.data_centre == m_settings.data_centre && (best == nullptr || ranking(each, *best)) &&
            !is_avoided(each.name)) {
            best = &each;
        }
    }
    return best;
}

/// The instance to follow: the preferred one of this data centre, or if that is this instance, the writer of
/// the objects. Returns nothing when the store is to be followed directly.
auto store_follower::relay() const -> std::optional<instance_record> {
    const auto* preferred = preferred_instance();
    if (preferred != nullptr && preferred->name != m_settings.instance) {
        return *preferred;
    }
    const auto writer = m_options.writer ? m_options.writer() : std::nullopt;
    const auto follows_writer = writer && writer->name != m_settings.instance && !is_avoided(writer->name);
    return follows_writer ? writer : std::nullopt;
}

auto store_follower::relay_address() const -> std::optional<endpoint> {
    const auto found = relay();
    return found ? std::optional{found->internal} : std::nullopt;
}

} // namespace teaselcross
