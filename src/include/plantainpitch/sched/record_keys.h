#pragma once

namespace plantainpitch::sched {

// First characters of the keys under which the owner of a partition stores its records; see
// sched.fbs.
inline constexpr char submissionPrefix = 'j';
inline constexpr char progressPrefix = 'p';
inline constexpr char queuePrefix = 'q';

} // namespace plantainpitch::sched
