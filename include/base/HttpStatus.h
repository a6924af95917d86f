// Names for the HTTP status codes that this project sends or checks for.
#pragma once

namespace onyx {

// Status codes as sent on the wire, and the first codes of ranges.
struct HttpStatus {
    static constexpr unsigned kFirstInterim = 100;
    static constexpr unsigned kSwitchingProtocols = 101;
    static constexpr unsigned kOk = 200;
    static constexpr unsigned kFirstFinal = 200;  // Lower codes are interim: another head follows.
    static constexpr unsigned kFirstRedirect = 300;
    static constexpr unsigned kBadRequest = 400;
    static constexpr unsigned kUnauthorized = 401;
    static constexpr unsigned kNotFound = 404;
    static constexpr unsigned kRequestTimeout = 408;
    static constexpr unsigned kConflict = 409;
    static constexpr unsigned kGone = 410;
    static constexpr unsigned kPayloadTooLarge = 413;
    static constexpr unsigned kMisdirected = 421;
    static constexpr unsigned kTooManyRequests = 429;
    static constexpr unsigned kFirstServerError = 500;
    static constexpr unsigned kBadGateway = 502;
    static constexpr unsigned kUnavailable = 503;
    static constexpr unsigned kGatewayTimeout = 504;
    static constexpr unsigned kEnd = 600;  // No status from here on.
};

}  // namespace onyx
