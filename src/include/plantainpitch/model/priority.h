#pragma once

namespace plantainpitch {

/// Urgent work must start within 2.2 s; normal work is ordered by its deadline.
enum class priority { normal, urgent };

} // namespace plantainpitch
