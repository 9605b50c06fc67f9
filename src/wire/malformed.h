/// @file
/// The exception of all decoders: the problem, the field that has it, and the expected value.
#pragma once
#include <stdexcept>
#include <string>
#include <utility>

namespace shunttrail::wire {

/// Reports a message or stored value that cannot be decoded. Decoders throw nothing else. `what()`
/// is one line for the sender; it starts with the name of the invalid field if there is one.
class Malformed : public std::runtime_error {
 public:
  /// The kind of problem.
  enum class Problem {
    other,         ///< described by `what()` only
    not_json,      ///< the whole body cannot be parsed
    missing,       ///< a required field is absent or null
    wrong_type,    ///< a field has another JSON type than expected
    out_of_range,  ///< a number, or a number of elements, is outside its limits
    bad_value,     ///< a field of the right type has a value that is not allowed
  };

  /// Makes an error that belongs to no single field.
  explicit Malformed(const std::string& message) : std::runtime_error(message) {}

  /// Makes an error of one field. `what()` is the field's name followed by `complaint`.
  Malformed(Problem problem, std::string field, const std::string& complaint, std::string expected)
      : std::runtime_error(field + " " + complaint),
        problem_(problem),
        field_(std::move(field)),
        expected_(std::move(expected)) {}

  /// Makes the error for a body that is not a JSON object, or is nested too deeply. `complaint` is
  /// the whole of `what()`.
  static Malformed not_json(const std::string& complaint) {
    Malformed error(complaint);
    error.problem_ = Problem::not_json;
    error.expected_ = "a JSON object";
    return error;
  }
  /// Makes the error for a required field that is absent or null.
  static Malformed missing(const std::string& field) {
    return {Problem::missing, field, "is missing", "a value"};
  }
  /// Makes the error for a field of a wrong JSON type. `expected` is a noun with its article, such
  /// as "a list".
  static Malformed wrong_type(const std::string& field, const std::string& expected) {
    return {Problem::wrong_type, field, "is not " + expected, expected};
  }
  /// Makes the error for a number outside its limits. `expected` states the limits.
  static Malformed out_of_range(const std::string& field, std::string expected) {
    return {Problem::out_of_range, field, "is out of range", std::move(expected)};
  }
  /// Makes the error for a value that is not allowed. `complaint` gives the reason, `expected` the
  /// allowed values.
  static Malformed bad_value(const std::string& field, const std::string& complaint,
                             std::string expected) {
    return {Problem::bad_value, field, complaint, std::move(expected)};
  }

  [[nodiscard]] Problem problem() const { return problem_; }
  /// Returns the field's name on the wire, or an empty string if the error belongs to no field.
  [[nodiscard]] const std::string& field() const { return field_; }
  /// Returns a description of the accepted values, or an empty string if there is none.
  [[nodiscard]] const std::string& expected() const { return expected_; }

 private:
  Problem problem_ = Problem::other;
  std::string field_;
  std::string expected_;
};

}  // namespace shunttrail::wire
