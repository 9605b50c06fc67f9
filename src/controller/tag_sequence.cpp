#include "controller/tag_sequence.h"

#include "controller/membership.h"

namespace shunttrail::controller {

std::string TagSequence::next() { return components_.membership->tag(letter_, ++count_); }

}  // namespace shunttrail::controller
