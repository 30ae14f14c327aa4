#pragma once

#include "member_service.h"

namespace plantainwall {

/// Encodes a request as the JSON that entry hosts exchange (POST /peer/v1/execute).
std::string encodeMemberRequest(const MemberRequest&);

/// @throws std::invalid_argument if the text is not a valid request.
MemberRequest decodeMemberRequest(std::string_view json);

/// Encodes an answer as the JSON that entry hosts exchange.
std::string encodeMemberAnswer(const MemberAnswer&);

/// @throws std::invalid_argument if the text is not a valid answer.
MemberAnswer decodeMemberAnswer(std::string_view json);

/// Returns "none", "begin", "continue", "commit" or "rollback".
std::string_view transactionStepName(TransactionStep);

/// @throws std::invalid_argument for an unknown name.
TransactionStep transactionStepFromName(std::string_view);

} // namespace plantainwall
