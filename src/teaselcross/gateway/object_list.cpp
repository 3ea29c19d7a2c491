#include "gateway/object_list.h"

#include "core/enum_names.h"
#include "logging/log.h"

#include <algorithm>
#include <optional>
#include <set>

namespace teaselcross {

namespace {

/// Pages have about 500 objects, so a longer list is no list of a fleet.
constexpr auto max_pages = std::size_t{1000};

/// Why a list cannot be continued.
enum class list_fault {
    no_name,        ///< A page has no object whose name can be read, so that none can be named to continue.
    repeated_name,  ///< A page ends with an object that an earlier one ended with.
    too_many_pages, ///< The list may have no end.
};
constexpr enum_table<list_fault, 3> list_fault_names{"no_name", "repeated_name", "too_many_pages"};

/// Why the list cannot be continued after a page that ends with @a last_key. @a continued_after has the last
/// keys of all pages before it.
auto find_fault(const std::string& last_key, const std::set<std::string>& continued_after)
    -> std::optional<list_fault> {
    if (last_key.empty()) {
        return list_fault::no_name;
    }
    if (continued_after.contains(last_key)) {
        return list_fault::repeated_name;
    }
    return continued_after.size() + 1 >= max_pages ? std::optional{list_fault::too_many_pages} : std::nullopt;
}

} // namespace

auto read_object_list(store_access& store, std::string kind, bool allow_stale)
    -> boost::asio::awaitable<object_list> {
    auto list = object_list{};
    auto after = std::string{};
    auto continued_after = std::set<std::string>{};
    while (true) {
        auto call = store_call{
            .kind = store_call_kind::list, .key = kind, .after_key = after, .allow_stale = allow_stale};
        auto reply = co_await store.read(std::move(call));
        const auto is_other_era = !list.pages.empty() && reply.era != list.pages.front().revision.era;
        if (reply.status != store_status::ok || is_other_era) {
            co_return object_list{};
        }
        auto last = reply.more && !reply.objects.empty() ? reply.objects.back().key : std::string{};
        std::erase_if(reply.objects, [](const auto& object) { return object.removed; });
        list.pages.push_back({.revision = reply.version,
                              .after_key = after,
                              .last_key = last,
                              .objects = std::move(reply.objects)});
        if (!reply.more) {
            list.end = list_end::complete;
            co_return list;
        }
        if (const auto fault = find_fault(last, continued_after)) {
            log::warning("list_incomplete", {{"kind", kind},
                                             {"reason", name_in(list_fault_names, *fault)},
                                             {"pages", list.pages.size()},
                                             {"after", after},
                                             {"last", last}});
            list.end = list_end::incomplete;
            co_return list;
        }
        continued_after.insert(last);
        after = std::move(last);
    }
}

} // namespace teaselcross
