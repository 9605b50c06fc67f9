// Limits that reservations of machines and of team quota have in common (docs/design.md, X14).
#pragma once

namespace shunttrail::scheduler {

/// Longest duration, in seconds, of a reservation of a machine or of a team's quota.
inline constexpr double kReservationDurationS = 60;
/// Time, in seconds, after a reservation before the same machine or team is reserved again.
inline constexpr double kReservationPauseS = 30;

}  // namespace shunttrail::scheduler
