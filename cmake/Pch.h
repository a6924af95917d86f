// Precompiled header: the heavy library headers, in one place. No file relies on it for names.
#pragma once

#include <spdlog/spdlog.h>
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "generated/frames_generated.h"
