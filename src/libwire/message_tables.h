#pragma once

#include "field_reader.h"
#include "field_writer.h"

#include "plantainpitch/role/message.h"

namespace plantainpitch::wire::detail {

offset<Message> write(builder &b, const message &content);

message read(field_reader &in, const Message &content);

} // namespace plantainpitch::wire::detail
