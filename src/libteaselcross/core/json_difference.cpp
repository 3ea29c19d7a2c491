#include "core/json_difference.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace teaselcross {

namespace {

using json = nlohmann::json;

/// How many elements of an array may be missing or new in a row; otherwise those that follow count as
/// changed.
constexpr auto max_gap = std::size_t{16};

/// A name as a part of a JSON Pointer (RFC 6901).
auto escaped(const std::string& name) -> std::string {
    auto text = std::string{};
    for (const auto each : name) {
        text += each == '~' ? "~0" : (each == '/' ? "~1" : std::string(1, each));
    }
    return text;
}

/// Collects the operations.
class patch_writer {
public:
    auto compare(const json& before, const json& after, const std::string& path) -> void {
        if (before.is_object() && after.is_object()) {
            compare_objects(before, after, path);
        } else if (before.is_array() && after.is_array()) {
            compare_arrays(before, after, path);
        } else if (before != after) {
            m_operations.push_back({{"op", "replace"}, {"path", path}, {"value", after}});
        }
    }
    auto take() -> json { return std::move(m_operations); }

private:
    auto add(const std::string& path, const json& value) -> void {
        m_operations.push_back({{"op", "add"}, {"path", path}, {"value", value}});
    }
    auto remove(const std::string& path) -> void {
        m_operations.push_back({{"op", "remove"}, {"path", path}});
    }

    auto compare_objects(const json& before, const json& after, const std::string& path) -> void {
        for (const auto& [name, value] : before.items()) {
            if (!after.contains(name)) {
                remove(path + "/" + escaped(name));
            }
        }
        for (const auto& [name, value] : after.items()) {
            const auto found = before.find(name);
            const auto member = path + "/" + escaped(name);
            if (found == before.end()) {
                add(member, value);
            } else {
                compare(*found, value, member);
            }
        }
    }

    /// The number of elements of @a in from @a from on that come before one that equals @a wanted.
    static auto gap_before(const json& wanted, const json& in, std::size_t from) -> std::size_t {
        for (auto gap = std::size_t{1}; gap <= max_gap && from + gap < in.size(); ++gap) {
            if (in[from + gap] == wanted) {
                return gap;
            }
        }
        return 0;
    }

    auto compare_arrays(const json& before, const json& after, const std::string& path) -> void {
        auto from = std::size_t{0};
        // Operations apply one after the other, so all elements before this one are those of the result.
        auto to = std::size_t{0};
        while (from < before.size() && to < after.size()) {
            const auto place = path + "/" + std::to_string(to);
            if (before[from] == after[to]) {
                ++from;
                ++to;
            } else if (const auto added = gap_before(before[from], after, to); added > 0) {
                for (auto count = std::size_t{0}; count < added; ++count, ++to) {
                    add(path + "/" + std::to_string(to), after[to]);
                }
            } else if (const auto removed = gap_before(after[to], before, from); removed > 0) {
                for (auto count = std::size_t{0}; count < removed; ++count, ++from) {
                    remove(place);
                }
            } else {
                compare(before[from++], after[to++], place);
            }
        }
        for (; from < before.size(); ++from) {
            remove(path + "/" + std::to_string(to));
        }
        for (; to < after.size(); ++to) {
            add(path + "/" + std::to_string(to), after[to]);
        }
    }

    json m_operations = json::array();
};

} // namespace

auto json_difference(const json& before, const json& after) -> json {
    auto writer = patch_writer{};
    writer.compare(before, after, "");
    return writer.take();
}

} // namespace teaselcross
