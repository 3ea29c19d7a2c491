#include "membership/copy_news.h"

namespace teaselcross {

namespace {

/// Drops what the copy has reached meanwhile.
auto advance(copy_news& news, const store_revision& own) -> void {
    if (!news.later) {
        return;
    }
    auto& later = *news.later;
    if (own >= later.latest) {
        news.later.reset();
    } else if (own >= later.first) {
        later.first = later.latest;
        later.first_heard_at = later.latest_heard_at;
    }
}

} // namespace

auto hear_copy(copy_news& news, const std::string& instance, const store_revision& theirs,
               const store_revision& own, instant now) -> void {
    advance(news, own);
    if (theirs <= own) {
        return;
    }
    if (!news.later) {
        news.later = later_copy{.first = theirs, .first_heard_at = now};
    }
    if (theirs >= news.later->latest) {
        news.later->latest = theirs;
        news.later->latest_heard_at = now;
        news.later->instance = instance;
    }
}

auto instance_ahead(copy_news& news, const store_revision& own, duration tolerance, instant now)
    -> std::optional<std::string> {
    advance(news, own);
    const auto is_due = news.later && now - news.later->first_heard_at >= tolerance;
    return is_due ? std::optional{news.later->instance} : std::nullopt;
}

auto forget_copy(copy_news& news, const std::string& instance) -> void {
    if (news.later && news.later->instance == instance) {
        news.later.reset();
    }
}

} // namespace teaselcross
