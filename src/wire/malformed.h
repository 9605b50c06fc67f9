/// @file
/// The error of every decoder: what was wrong with a message, where, and what was expected.
#pragma once
#include <stdexcept>
#include <string>
#include <utility>

namespace shunttrail::wire {

/// A message or stored value that cannot be read. Decoders throw this and nothing else. `what()` is
/// one line for the sender, which starts with the field's name where there is one.
class Malformed : public std::runtime_error {
 public:
  /// What was wrong.
  enum class Problem {
    other,         ///< told by `what()` alone
    not_json,      ///< the whole body cannot be parsed
    missing,       ///< a required field is not there
    wrong_type,    ///< a field has another JSON type than expected
    out_of_range,  ///< a number, or a number of elements, is outside its limits
    bad_value,     ///< a field of the right type has a value that is not allowed
  };

  /// An error that no field of its own can be named for.
  explicit Malformed(const std::string& message) : std::runtime_error(message) {}

  /// An error of one field. `complaint` follows the field's name in `what()`.
  Malformed(Problem problem, std::string field, const std::string& complaint, std::string expected)
      : std::runtime_error(field + " " + complaint),
        problem_(problem),
        field_(std::move(field)),
        expected_(std::move(expected)) {}

  /// The body is no JSON document that is read here; `complaint` is the whole of `what()`.
  static Malformed not_json(const std::string& complaint) {
    Malformed error(complaint);
    error.problem_ = Problem::not_json;
    error.expected_ = "a JSON object";
    return error;
  }
  /// A required field is not there.
  static Malformed missing(const std::string& field) {
    return {Problem::missing, field, "is missing", "a value"};
  }
  /// A field has another type than `expected`, which is a noun with its article.
  static Malformed wrong_type(const std::string& field, const std::string& expected) {
    return {Problem::wrong_type, field, "is not " + expected, expected};
  }
  /// A number is outside its limits. `expected` states them.
  static Malformed out_of_range(const std::string& field, std::string expected) {
    return {Problem::out_of_range, field, "is out of range", std::move(expected)};
  }
  /// A value is not allowed. `complaint` says why, `expected` what is.
  static Malformed bad_value(const std::string& field, const std::string& complaint,
                             std::string expected) {
    return {Problem::bad_value, field, complaint, std::move(expected)};
  }

  [[nodiscard]] Problem problem() const { return problem_; }
  /// The field's name on the wire; empty where no field is at fault.
  [[nodiscard]] const std::string& field() const { return field_; }
  /// What would have been accepted; empty where it was not told.
  [[nodiscard]] const std::string& expected() const { return expected_; }

 private:
  Problem problem_ = Problem::other;
  std::string field_;
  std::string expected_;
};

}  // namespace shunttrail::wire
