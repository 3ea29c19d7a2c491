#include "keeper/refusal.h"

#include "http/fields.h"

#include <nlohmann/json.hpp>

namespace teaselcross {

namespace http = boost::beast::http;

auto refusal_answer(const http_request& request, const request_refusal& refused) -> http_response {
    const auto not_run = refused.request_outcome == outcome::not_run;
    const auto name = std::string{name_in(outcome_names, refused.request_outcome)};
    auto answer = http_response{not_run ? http::status::service_unavailable : http::status::bad_gateway,
                                request.version()};
    answer.set(http::field::content_type, "application/json");
    answer.set(fields::outcome, name);
    answer.set(fields::reason, refused.reason);
    answer.set(fields::retry_elsewhere, refused.retry_elsewhere ? "yes" : "no");
    auto body = nlohmann::json{{"error", refused.text}, {"reason", refused.reason}, {"outcome", name}};
    if (refused.retry_after > duration{0}) {
        const auto after = std::chrono::ceil<std::chrono::milliseconds>(refused.retry_after);
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refused.retry_after);
        answer.set(fields::retry_after_ms, std::to_string(after.count()));
        answer.set(http::field::retry_after, std::to_string(seconds.count()));
        body["retry_after_ms"] = after.count();
    }
    answer.body() = request.method() == http::verb::head ? std::string{} : body.dump() + "\n";
    answer.prepare_payload();
    return answer;
}

} // namespace teaselcross
