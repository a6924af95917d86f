# The libraries of the deployed program and the program itself, for the whole build and for the one of
# deploy/ alike.
get_filename_component(ONYX_ROOT ${CMAKE_CURRENT_LIST_DIR}/.. ABSOLUTE)
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(spdlog REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)
add_compile_options(-Wall -Wextra)
# One Asio configuration in every file that includes it.
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE)

# The decisions: no sockets, no clock, no thread. This is the part that others embed.
file(GLOB DECISION_SOURCES CONFIGURE_DEPENDS ${ONYX_ROOT}/src/base/*.cpp
     ${ONYX_ROOT}/src/placement/*.cpp ${ONYX_ROOT}/src/admission/*.cpp
     ${ONYX_ROOT}/src/membership/*.cpp ${ONYX_ROOT}/src/routing/*.cpp
     ${ONYX_ROOT}/src/health/*.cpp ${ONYX_ROOT}/src/relay/*.cpp ${ONYX_ROOT}/src/freshness/*.cpp
     ${ONYX_ROOT}/src/lifecycle/*.cpp ${ONYX_ROOT}/src/rollout/*.cpp)
add_library(onyx_decisions STATIC ${DECISION_SOURCES})
target_include_directories(onyx_decisions PUBLIC
    $<BUILD_INTERFACE:${ONYX_ROOT}> $<INSTALL_INTERFACE:include/onyxcleat>)
target_link_libraries(onyx_decisions PUBLIC xxhash)

# The process's parts: sockets, frames, files, logs.
file(GLOB RUNTIME_SOURCES CONFIGURE_DEPENDS ${ONYX_ROOT}/src/config/*.cpp
     ${ONYX_ROOT}/src/wire/*.cpp ${ONYX_ROOT}/src/net/*.cpp ${ONYX_ROOT}/src/store/*.cpp
     ${ONYX_ROOT}/src/observe/*.cpp)
# Only the report on error budgets needs this.
list(FILTER RUNTIME_SOURCES EXCLUDE REGEX "/Burn\\.cpp$")
add_library(onyx_runtime STATIC ${RUNTIME_SOURCES})
target_link_libraries(onyx_runtime PUBLIC onyx_decisions spdlog::spdlog nlohmann_json::nlohmann_json
                      flatbuffers Threads::Threads)

file(GLOB GATEWAY_SOURCES CONFIGURE_DEPENDS ${ONYX_ROOT}/src/state/*.cpp
     ${ONYX_ROOT}/src/peers/*.cpp ${ONYX_ROOT}/src/request/*.cpp ${ONYX_ROOT}/src/gateway/*.cpp
     ${ONYX_ROOT}/platform/*.cpp)
add_library(onyx_gateway STATIC ${GATEWAY_SOURCES})
target_link_libraries(onyx_gateway PUBLIC onyx_runtime)

add_executable(onyx-gateway ${ONYX_ROOT}/tools/onyx-gateway.cpp)
target_link_libraries(onyx-gateway PRIVATE onyx_gateway CLI11::CLI11)
