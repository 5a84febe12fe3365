package decoder

import (
	"strings"
	"unicode"
)

// Kebab converts a Go name to kebab case and treats initialisms as one word:
// "MaxTokens" becomes "max-tokens", and "ID" becomes "id".
func Kebab(name string) string {
	runes := []rune(name)
	var text strings.Builder
	for i, r := range runes {
		if unicode.IsUpper(r) && i > 0 {
			afterLower := !unicode.IsUpper(runes[i-1])
			beforeLower := i+1 < len(runes) && unicode.IsLower(runes[i+1])
			if afterLower || beforeLower {
				text.WriteByte('-')
			}
		}
		text.WriteRune(unicode.ToLower(r))
	}
	return text.String()
}
