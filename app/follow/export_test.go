package follow

// EncodeReports and DecodeReports are tested for their size and time.
var (
	EncodeReports = encodeReports
	DecodeReports = decodeReports
)
