"""Agreement among controllers: registers whose versions a majority of the voters chooses, and who votes."""
