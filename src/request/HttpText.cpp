#include "include/request/HttpText.h"

#include <fmt/format.h>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include <vector>

namespace onyx {

namespace http = boost::beast::http;

namespace {

std::string_view View(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

void AppendFields(std::string& out, const HttpFields& fields) {
    for (const auto& field : fields) {
        out += View(field.name_string());
        out += ": ";
        out += View(field.value());
        out += "\r\n";
    }
}

std::string StatusLine(unsigned status, std::string_view reason) {
    return fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
}

std::string AnswerHead(const ResponseHead& head, const HttpFields& fields, bool close) {
    const auto reason =
        head.reason().empty() ? http::obsolete_reason(head.result()) : head.reason();
    std::string out = StatusLine(head.result_int(), View(reason));
    AppendFields(out, fields);
    if (close) {
        out += "Connection: close\r\n";
    }
    return out;
}

}  // namespace

void DropConnectionHeaders(HttpFields& fields) {
    std::vector<std::string> named;
    for (const auto& token : http::token_list{fields[http::field::connection]}) {
        named.emplace_back(token);
    }
    for (const std::string& name : named) {
        fields.erase(name);
    }
    for (const auto field :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
          http::field::proxy_authenticate, http::field::proxy_authorization, http::field::te,
          http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
          http::field::content_length, http::field::expect}) {
        fields.erase(field);
    }
}

std::string RequestHeadText(const CallerMessage& message, const HttpFields& fields,
                            size_t bodySize) {
    std::string out =
        fmt::format("{} {} HTTP/1.1\r\n", View(message.method_string()), View(message.target()));
    AppendFields(out, fields);
    const bool framed = message.count(http::field::content_length) > 0 || message.chunked();
    if (framed || bodySize > 0) {
        out += fmt::format("Content-Length: {}\r\n", bodySize);
    }
    out += "\r\n";
    return out;
}

std::string AnswerText(const ResponseHead& head, const HttpFields& fields, std::string_view body,
                       bool close) {
    std::string out = AnswerHead(head, fields, close);
    out += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    out += body;
    return out;
}

std::string ChunkedHeadText(const ResponseHead& head, const HttpFields& fields, bool close) {
    return AnswerHead(head, fields, close) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string ChunkText(std::string_view data) {
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string RefusalText(unsigned status, std::string_view reason, const HttpFields& fields,
                        bool close) {
    const std::string body = nlohmann::json{{"title", reason}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::string out = StatusLine(status, View(http::obsolete_reason(http::int_to_status(status))));
    AppendFields(out, fields);
    out += "Content-Type: application/problem+json\r\n";
    if (close) {
        out += "Connection: close\r\n";
    }
    out += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    out += body;
    return out;
}

}  // namespace onyx
