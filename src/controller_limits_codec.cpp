#include "controller_limits.h"
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    using web::json::value;

    enum ShareField : size_t {
        Kind,
        Customer,
        From,
        To,
        ToPool,
        IdHost,
        IdIncarnation,
        IdNumber,
        Renewal,
        Units,
        Level,
        LoanDuration,
        FieldCount
    };

    ShareMessage decodeShare(const value& fields)
    {
        ShareMessage message;
        const int kind = fields.at(Kind).as_integer();
        if (kind < 0 || kind >= static_cast<int>(ShareMessageKind::Count))
            throw std::invalid_argument("share message has an unknown kind");
        message.kind = static_cast<ShareMessageKind>(kind);
        message.customer = fields.at(Customer).as_string();
        message.from = fields.at(From).as_string();
        message.to = fields.at(To).as_string();
        message.toPool = fields.at(ToPool).as_integer() != 0;
        message.id.host = fields.at(IdHost).as_string();
        message.id.incarnation = fields.at(IdIncarnation).as_number().to_uint64();
        message.id.number = fields.at(IdNumber).as_number().to_uint64();
        message.renewal = fields.at(Renewal).as_number().to_uint64();
        message.units = fields.at(Units).as_number().to_int64();
        message.level = fields.at(Level).as_double();
        message.duration = Duration(fields.at(LoanDuration).as_number().to_int64());
        return message;
    }

} // namespace

std::string encodeShares(const std::vector<ShareMessage>& messages)
{
    value array = value::array(messages.size());
    for (size_t i = 0; i < messages.size(); ++i) {
        const ShareMessage& message = messages[i];
        value fields = value::array(FieldCount);
        fields[Kind] = value(static_cast<int>(message.kind));
        fields[Customer] = value(message.customer);
        fields[From] = value(message.from);
        fields[To] = value(message.to);
        fields[ToPool] = value(message.toPool ? 1 : 0);
        fields[IdHost] = value(message.id.host);
        fields[IdIncarnation] = value(message.id.incarnation);
        fields[IdNumber] = value(message.id.number);
        fields[Renewal] = value(message.renewal);
        fields[Units] = value(message.units);
        fields[Level] = value(message.level);
        fields[LoanDuration] = value(static_cast<int64_t>(message.duration.count()));
        array[i] = std::move(fields);
    }
    return array.serialize();
}

std::vector<ShareMessage> decodeShares(const std::string& text)
{
    std::vector<ShareMessage> messages;
    const value array = value::parse(text);
    for (const value& fields : array.as_array())
        messages.push_back(decodeShare(fields));
    return messages;
}

} // namespace plantainwall
