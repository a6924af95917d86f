// Decides whether the head of an HTTP response is that of an answer.
//
// A parser takes any three digits for a status, and a body in a transfer coding that it does not
// know for one that ends with its connection. A peer that sends such a head is in trouble: what
// follows is no body that it meant, and may look like another answer.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace onyx {

// Whether the status is one of HTTP, the transfer coding, if there is one, is "chunked" alone, and
// the connection goes on with HTTP. The answer may be an interim one, which another head follows.
// Preconditions: none. Thread safety: any thread.
bool IsAnswerHead(const boost::beast::http::response_header<boost::beast::http::fields>& head);

}  // namespace onyx
