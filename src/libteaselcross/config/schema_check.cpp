#include "config/schema_check.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace teaselcross {

namespace {

/// Turns the path elements of the validator, "<root>" first and each in brackets, into a JSON pointer.
auto pointer_of(const std::vector<std::string>& context) -> std::string {
    auto pointer = std::string{};
    for (const auto& element : context) {
        if (element == "<root>") {
            continue;
        }
        const auto bracketed = element.size() > 2 && element.front() == '[';
        auto name = bracketed ? element.substr(1, element.size() - 2) : element;
        if (name.size() > 2 && name.front() == '"') {
            name = name.substr(1, name.size() - 2);
        }
        pointer += "/" + name;
    }
    return pointer;
}

} // namespace

auto check_schema(const nlohmann::json& schema, const nlohmann::json& document) -> findings {
    auto parsed = valijson::Schema{};
    auto parser = valijson::SchemaParser{};
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter{schema}, parsed);

    auto validator = valijson::Validator{};
    auto results = valijson::ValidationResults{};
    validator.validate(parsed, valijson::adapters::NlohmannJsonAdapter{document}, &results);

    auto found = findings{};
    auto error = valijson::ValidationResults::Error{};
    while (results.popError(error)) {
        found.push_back({.place = pointer_of(error.context), .message = error.description});
    }
    return found;
}

} // namespace teaselcross
