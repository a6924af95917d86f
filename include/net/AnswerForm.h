// Decides whether the head of an HTTP response is that of an answer.
//
// A parser takes any three digits for a status. A peer that sends one that is none is in trouble:
// what follows is no body that it meant, and may look like another answer.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace onyx {

// Whether the status is one of HTTP, and the connection goes on with HTTP. The answer may be an
// interim one, which another head follows.
// Preconditions: none. Thread safety: any thread.
bool IsAnswerHead(const boost::beast::http::response_header<boost::beast::http::fields>& head);

}  // namespace onyx
