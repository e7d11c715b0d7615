#pragma once

#include "plantainpitch/model/work_parameters.h"
#include "plantainpitch/model/work_template.h"

#include <string>
#include <string_view>

namespace plantainpitch {

/// Parses and validates a template document (JSON, "version": 1).
/// Throws error(invalid_document) that names the path of the first fault and the remedy; unknown
/// fields are refused.
work_template parseTemplate(std::string_view document);

/// Parses and validates a parameters document; errors as parseTemplate().
work_parameters parseParameters(std::string_view document);

/// The document with all defaults shown, in a fixed field order.
std::string toDocument(const work_template &value);
std::string toDocument(const work_parameters &value);

} // namespace plantainpitch
