// The operators' gRPC service. Stateless: each call reads the platform, changes it under a
// condition, and is done.
#pragma once

#include "include/net/Net.h"
#include "modules/standalone/generated/onyx_admin.grpc.pb.h"
#include "modules/standalone/include/store/ObjectClient.h"

namespace onyx {

// Thread safe: each call has an io_context of its own.
class AdminService final : public admin::v1::Admin::Service {
public:
    // Preconditions: none.
    explicit AdminService(const Endpoint& platform) : m_platform(platform) {}

    grpc::Status Apply(grpc::ServerContext* context, const admin::v1::ApplyRequest* request,
                       admin::v1::ApplyReply* reply) override;
    grpc::Status Get(grpc::ServerContext* context, const admin::v1::GetRequest* request,
                     admin::v1::GetReply* reply) override;
    grpc::Status Status(grpc::ServerContext* context, const admin::v1::StatusRequest* request,
                        admin::v1::StatusReply* reply) override;
    grpc::Status Leave(grpc::ServerContext* context, const admin::v1::LeaveRequest* request,
                       admin::v1::LeaveReply* reply) override;

private:
    Endpoint m_platform;
};

}  // namespace onyx
