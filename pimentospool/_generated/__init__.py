"""Structs generated from the schemas; ``make generate`` writes them."""
