package main

import (
	"os"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"geraniumline/measurer"
)

const (
	imageWidth  = 16 * vg.Centimeter
	imageHeight = 20 * vg.Centimeter
)

// figure is one of the plots in the image.
type figure struct {
	label      string
	legendLeft bool
	value      func(p measurer.Point) float64
}

var figures = []figure{
	{"attainment of offered requests", false, func(p measurer.Point) float64 { return p.Attainment }},
	{"endpoint ms for an answer in time", true, func(p measurer.Point) float64 { return p.Cost }},
}

// drawPlots plots attainment and cost against load, with one line for each policy.
func drawPlots(points []measurer.Point) (*vgsvg.Canvas, error) {
	canvas := vgsvg.New(imageWidth, imageHeight)
	tiles := draw.Tiles{Rows: len(figures), Cols: 1, PadY: vg.Centimeter}
	area := draw.New(canvas)
	for i, f := range figures {
		p, err := f.plot(points)
		if err != nil {
			return nil, err
		}
		p.Draw(tiles.At(area, 0, i))
	}
	return canvas, nil
}

func (f figure) plot(points []measurer.Point) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "offered load, as a multiple of the capacity"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks(ticks(points))
	p.Y.Label.Text = f.label
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = f.legendLeft
	var lines []any
	for _, policy := range policies(points) {
		lines = append(lines, policy, f.line(points, policy))
	}
	return p, plotutil.AddLinePoints(p, lines...)
}

func (f figure) line(points []measurer.Point, policy string) plotter.XYs {
	var line plotter.XYs
	for _, p := range points {
		if p.Policy == policy {
			line = append(line, plotter.XY{X: p.Load, Y: f.value(p)})
		}
	}
	return line
}

func policies(points []measurer.Point) []string {
	var names []string
	for _, p := range points {
		if !slices.Contains(names, p.Policy) {
			names = append(names, p.Policy)
		}
	}
	return names
}

func ticks(points []measurer.Point) []plot.Tick {
	var marks []plot.Tick
	for _, p := range points {
		mark := plot.Tick{Value: p.Load, Label: strconv.FormatFloat(p.Load, 'g', -1, 64)}
		if !slices.Contains(marks, mark) {
			marks = append(marks, mark)
		}
	}
	return marks
}

// writePlots writes the plots to a file as SVG.
func writePlots(path string, points []measurer.Point) (err error) {
	canvas, err := drawPlots(points)
	if err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	_, err = canvas.WriteTo(file)
	return err
}
