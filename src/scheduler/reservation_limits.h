// Durations that reservations of machines and of team quota share (docs/design.md, X14).
#pragma once

namespace shunttrail::scheduler {

/// Longest life of a reservation, of a machine or of a team's quota, in seconds.
inline constexpr double kReservationDurationS = 60;
/// Pause, in seconds, before the same machine or team is reserved again.
inline constexpr double kReservationPauseS = 30;

}  // namespace shunttrail::scheduler
