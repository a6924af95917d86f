# The gateway and what it needs, for the whole build and for the deployed one alike.
get_filename_component(ONYX_ROOT ${CMAKE_CURRENT_LIST_DIR}/.. ABSOLUTE)
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
if(NOT TARGET onyx_runtime)
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
  add_compile_definitions(BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE)
  include_directories(${ONYX_ROOT})
endif()

file(GLOB GATEWAY_SOURCES CONFIGURE_DEPENDS ${ONYX_ROOT}/src/gateway/*.cpp
     ${ONYX_ROOT}/platform/*.cpp)
add_library(onyx_gateway STATIC ${GATEWAY_SOURCES})
if(TARGET onyx_runtime)
  target_link_libraries(onyx_gateway PUBLIC onyx_runtime)
else()
  file(GLOB DECISION_SOURCES CONFIGURE_DEPENDS ${ONYX_ROOT}/src/routing/*.cpp
       ${ONYX_ROOT}/src/health/*.cpp ${ONYX_ROOT}/src/relay/*.cpp
       ${ONYX_ROOT}/src/freshness/*.cpp)
  target_sources(onyx_gateway PRIVATE ${DECISION_SOURCES} ${ONYX_ROOT}/src/base/Hash.cpp
                 ${ONYX_ROOT}/src/membership/BoxDirectory.cpp
                 ${ONYX_ROOT}/src/membership/DigestTargets.cpp
                 ${ONYX_ROOT}/src/placement/PeerCounts.cpp
                 ${ONYX_ROOT}/src/placement/PromptAffinity.cpp
                 ${ONYX_ROOT}/src/placement/CacheDirectory.cpp ${ONYX_ROOT}/src/config/Settings.cpp
                 ${ONYX_ROOT}/src/net/HttpServer.cpp ${ONYX_ROOT}/src/net/Launch.cpp
                 ${ONYX_ROOT}/src/net/Net.cpp ${ONYX_ROOT}/src/net/SocketTools.cpp
                 ${ONYX_ROOT}/src/net/Program.cpp ${ONYX_ROOT}/src/observe/Events.cpp
                 ${ONYX_ROOT}/src/store/StoreWatch.cpp ${ONYX_ROOT}/src/observe/Metrics.cpp ${ONYX_ROOT}/src/wire/FrameCodec.cpp
                 ${ONYX_ROOT}/src/wire/FrameLink.cpp)
  target_link_libraries(onyx_gateway PUBLIC spdlog::spdlog nlohmann_json::nlohmann_json xxhash
                        flatbuffers
                        Threads::Threads)
endif()

add_executable(onyx-gateway ${ONYX_ROOT}/tools/onyx-gateway.cpp)
target_link_libraries(onyx-gateway PRIVATE onyx_gateway CLI11::CLI11)
