#include "include/routing/Catalog.h"

#include <catch2/catch.hpp>

using namespace onyx;

namespace {

Route RouteOf(const std::string& name, const std::string& host, const std::string& prefix) {
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{ServiceId("s"), 1}};
    return route;
}

std::shared_ptr<const Catalog> CatalogOf(std::vector<Route> routes) {
    CatalogParts parts;
    parts.version = 3;
    parts.routes = std::move(routes);
    return Catalog::Make(std::move(parts)).value();
}

}  // namespace

TEST_CASE(
    "The route with the longest matching prefix of its host is found, in any order of the routes") {
    const auto catalog =
        CatalogOf({RouteOf("all", "A.example", "/"), RouteOf("long", "a.example", "/x/y/"),
                   RouteOf("short", "a.example", "/x/"), RouteOf("other", "b.example", "/x/y/z/")});
    const auto found = [&](std::string_view host, std::string_view path) {
        const Route* route = catalog->findRoute(host, path);
        return route == nullptr ? "none" : route->name;
    };
    CHECK(found("a.example", "/x/y/z/1") == "long");
    CHECK(found("A.EXAMPLE:8080", "/x/y") == "short");
    CHECK(found("a.example", "/x/?q=/x/y/") == "short");
    CHECK(found("a.example", "/xy/") == "all");
    CHECK(found("b.example", "/x/y/") == "none");
    CHECK(found("c.example", "/") == "none");
    CHECK(found("a.example", "") == "none");
}

TEST_CASE("An invalid route is an error that names the route") {
    CatalogParts parts;
    parts.routes = {RouteOf("r1", "a", "no-slash")};
    const auto made = Catalog::Make(parts);
    REQUIRE(made.has_error());
    CHECK(made.error().text() ==
          "catalog.route r1: bad-input: path prefix: expected a slash at both ends");
    parts.routes = {RouteOf("r2", "a", "/")};
    parts.routes[0].services.clear();
    CHECK(Catalog::Make(parts).has_error());
}

TEST_CASE("Services are picked in proportion to their weights over all random numbers") {
    Route route = RouteOf("r", "a", "/");
    route.services = {{ServiceId("big"), 90}, {ServiceId("small"), 10}, {ServiceId("none"), 0}};
    int small = 0;
    for (uint64_t point = 0; point < 1000; ++point) {
        small += PickService(route, point) == ServiceId("small") ? 1 : 0;
        CHECK(PickService(route, point) != ServiceId("none"));
    }
    CHECK(small == 100);
}
